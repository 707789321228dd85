#packages/core/src/tamarack_core/admission.py
s/^RETRY_FRACTION = 1.05$/RETRY_FRACTION = WITHIN_SHARE/
