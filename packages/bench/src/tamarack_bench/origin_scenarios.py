"""What it costs routers to tell and to remember at which software version streams began."""

from __future__ import annotations

import time
import tracemalloc

from tamarack_bench.capacity import DAEMONS, REQUESTS_PER_S
from tamarack_bench.scenarios import Options, Reading, scenario
from tamarack_core.clock import ManualClock
from tamarack_core.software_versions import LONGEST_STREAM_MS
from tamarack_core.stream_origins import BegunStreams, StreamOrigins
from tamarack_core.wire import decode, encode
from tamarack_gateway.relay_collector import REMEMBERING_DOMAINS

STREAMS = 50_000
FAILURE_DOMAINS = 12
BATCH = 4
"""Streams that a router tells of in one report."""


@scenario("stream-origins", "bytes, processor time and memory of one remembered stream")
def stream_origins(options: Options) -> Reading:
    """Encode, decode and remember the attempts of many streams."""
    names = [f"{options.seed:04x}{number:012x}" for number in range(STREAMS)]
    batches = [
        BegunStreams("model-pool", "v1.1", names[start : start + BATCH])
        for start in range(0, STREAMS, BATCH)
    ]
    began_s = time.process_time()
    frames = [encode([batch]) for batch in batches]
    encoded_s = time.process_time()
    tracemalloc.start()
    remembered = _remember(frames)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del remembered
    received_s = time.process_time()
    _remember(frames)
    remembered_s = time.process_time()
    frame_bytes = sum(map(len, frames)) / STREAMS
    told_per_s = REQUESTS_PER_S * (1 + REMEMBERING_DOMAINS) / FAILURE_DOMAINS
    figures = {
        "bytes_per_stream": round(frame_bytes, 1),
        "tell_us_per_stream": round((encoded_s - began_s) / STREAMS * 1e6, 2),
        "remember_us_per_stream": round((remembered_s - received_s) / STREAMS * 1e6, 2),
        "memory_bytes_per_stream": round(kept_bytes / STREAMS, 1),
        "target_bytes_per_s_of_a_router": round(REQUESTS_PER_S / DAEMONS * frame_bytes, 1),
        "target_bytes_per_s_of_a_relay": round(told_per_s * frame_bytes, 1),
        "target_memory_mb_of_a_relay": round(
            2 * LONGEST_STREAM_MS / 1000 * told_per_s * kept_bytes / STREAMS / 1e6, 1
        ),
    }
    return Reading("stream-origins", figures)


def _remember(frames: list[bytes]) -> StreamOrigins:
    origins = StreamOrigins(ManualClock(), lambda: LONGEST_STREAM_MS)
    for frame in frames:
        decoded = decode(frame, "", 0, "")
        if decoded is not None:
            origins.record_told(decoded.messages[0])
    return origins
