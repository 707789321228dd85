#packages/core/src/tamarack_core/placement.py
s/^NOT_PREFERRED_PENALTY_MS = 60.0$/NOT_PREFERRED_PENALTY_MS = 0.0/
