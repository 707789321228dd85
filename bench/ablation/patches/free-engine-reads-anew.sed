#packages/core/src/tamarack_core/admitted_placement.py
s/^    worth_prefill = .*$/    worth_prefill = False/
