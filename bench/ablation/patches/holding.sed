#packages/core/src/tamarack_core/admission.py
s/^HOLD_FRACTION = 0.5$/HOLD_FRACTION = -1000.0/
