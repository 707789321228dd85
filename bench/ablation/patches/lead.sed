#packages/core/src/tamarack_core/admission.py
s/^LEAD_EXPONENT = 6.0$/LEAD_EXPONENT = 0.0/
