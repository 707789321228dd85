#packages/core/src/tamarack_core/placement.py
s/^    if anchor is None or any(models\[e.name\].caches(anchor) for e in endpoints):$/    if True:/
