#packages/core/src/tamarack_core/engine_model.py
s/^PEER_GAIN = 0.5$/PEER_GAIN = 0.0/
