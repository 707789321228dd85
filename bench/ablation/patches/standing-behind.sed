#packages/core/src/tamarack_core/admission.py
s/^STANDING_CAP_MIN = 2.0$/STANDING_CAP_MIN = 3.0/
