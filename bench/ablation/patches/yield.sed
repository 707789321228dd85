#packages/core/src/tamarack_core/admission.py
s/^TARGET_EXPONENT = 1.0$/TARGET_EXPONENT = 0.0/
