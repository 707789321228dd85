#packages/core/src/tamarack_core/placement.py
s/^PREFILL_WEIGHT = 5.0$/PREFILL_WEIGHT = 1.0/
