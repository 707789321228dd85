#packages/core/src/tamarack_core/concurrency_limit.py
s/if running < self._limit:/if True:/
