"""Default parameters of the core; times in milliseconds, costs in cost units."""

PROBE_INTERVAL_MS = 500
PROBE_TIMEOUT_MS = 250
SUSPICION_MS = 1_500  # time for a suspected member to refute before it counts as dead
PIGGYBACK_LIMIT = 6  # member updates per probe
GOSSIP_FACTOR = 3  # an update is sent this many times the logarithm of the number of members
SYNC_MEMBERS = 16  # members sent to a new member, or notified directly of a change
FORGET_DEAD_MS = 60_000

POLL_INTERVAL_MS = 100
DISPATCHER_SILENCE_MS = 300
ROUTER_PROBE_MS = 300  # silence after which a dispatcher probes a router
ROUTER_SILENCE_MS = 700  # silence after which it releases the router's grants
AVOID_DISPATCHER_MS = 2_000
REGISTRATION_WINDOW_MS = 120
DISPATCHER_IDLE_MS = 5_000
PAUSE_MS = 1_000  # gap between ticks after which a router drops its dispatchers

SHARD_SIZE = 64  # endpoints
EXCHANGE_INTERVAL_MS = 1_000
QUEUE_LIMIT = 1_000
AGING_MS = 20_000  # waiting time that equals one priority level
DEFAULT_COST = 200.0
ESTIMATE_GAIN = 0.2  # weight of a new cost in a workspace's moving mean
PROGRESS_STEP = 0.5  # of the reported cost, charged in advance until the next report

ENDPOINT_BACKOFF_MS = 250
ENDPOINT_BACKOFF_MAX_MS = 5_000
LOAD_STALE_MS = 3_000
PREFIX_MEMORY = 512  # prompt prefixes remembered per endpoint

KEY_MEMORY = 100_000  # keys per owner
KEY_LIFETIME_MS = 600_000
CLAIM_TIMEOUT_MS = 400
DEADLINE_MS = 60_000
RETRY_BUDGET = 0.1  # retries per request
