"""Followers, stored answers and share limits of the relay, over socket pairs."""

from __future__ import annotations

import selectors
import socket
import time

from tamarack_core.clock import ManualClock
from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_router.follower import Follower
from tamarack_router.kept_answer import AnswerStore, KeptAnswer
from tamarack_router.mailbox import Mailbox
from tamarack_router.messages import DoubtRouter
from tamarack_router.relay import Relay
from tamarack_router.remote_answers import RemoteAnswers
from tamarack_router.run import RunLimits
from tamarack_router.share_guard import ShareGuard
from tamarack_router.slow_callers import SlowCallers
from tamarack_router.tracing import Tracing


def make_relay() -> Relay:
    answers = AnswerStore(10_000, 60_000)
    tracing = Tracing("r1", "off", "", 0.0)
    limits = RunLimits(1_000, 1_000)
    return Relay(ManualClock(), Mailbox(), answers, ShareGuard(10, 1.0), tracing, limits)


def read_all(sock: socket.socket) -> bytes:
    data = b""
    while part := sock.recv(65_536):
        data += part
    return data


def test_an_event_of_a_follower_closed_in_the_same_selector_round_is_ignored() -> None:
    # One selector round can contain both the end of an answer, which closes the caller's socket,
    # and the caller's disconnect. The event of the closed socket must not raise: the exception
    # would end the relay thread, and the router would accept requests but answer none.
    relay = make_relay()
    near, far = socket.socketpair()
    answer = KeptAnswer("r1~1~1", "w", stream=False)
    relay._callers.attach(Follower(near, answer))
    callback = relay._selector.get_key(near).data
    answer.begin(200, "text/plain")
    answer.body += b"whole"
    answer.finish()
    relay._callers.pump(answer)
    assert near.fileno() < 0
    callback(selectors.EVENT_READ)
    assert relay.followers == 0
    assert read_all(far).endswith(b"whole")


def test_a_broken_stream_has_no_last_chunk() -> None:
    # The engine crashes in the middle of a stream and the rest cannot be resumed. With a regular
    # last chunk the truncated answer would look complete to the caller's HTTP library.
    near, far = socket.socketpair()
    answer = KeptAnswer("r1~1~1", "w", stream=True)
    follower = Follower(near, answer)
    answer.begin(200, "text/event-stream")
    answer.body += b"data: half\n\n"
    follower.pump()
    answer.refuse(Refusal(ErrorCode.ENDPOINT_FAILED, "The endpoint failed.", Outcome.UNKNOWN))
    follower.pump()
    assert follower.finished
    follower.close()
    data = read_all(far)
    assert b"data: half" in data and b"event: error" in data
    assert not data.endswith(b"0\r\n\r\n")


def test_a_complete_stream_ends_with_the_last_chunk() -> None:
    near, far = socket.socketpair()
    answer = KeptAnswer("r1~1~1", "w", stream=True)
    follower = Follower(near, answer)
    answer.begin(200, "text/event-stream")
    answer.body += b"data: all\n\n"
    answer.finish()
    follower.pump()
    follower.close()
    assert read_all(far).endswith(b"0\r\n\r\n")


def test_a_flooding_workspace_does_not_evict_a_small_workspaces_answer() -> None:
    # One answer of a small workspace is followed by hundreds from another workspace. Evicting the
    # oldest answer overall would drop the small workspace's; the oldest answer of the workspace
    # that uses most memory must be evicted instead.
    store = AnswerStore(memory_bytes=50_000, lifetime_ms=60_000)
    for number in range(200):
        workspace = "small" if number == 0 else "flood"
        answer = KeptAnswer(f"r1~1~{number}", workspace, stream=False)
        answer.body += b"x" * 500
        store.add(answer)
        answer.begin(200, "text/plain")
        answer.finish()
        store.ended(answer, 1.0 + number)
    assert store.find("r1~1~0", "small") is not None
    assert store.find("r1~1~1", "flood") is None
    assert store.find("r1~1~0", "flood") is None
    assert store.kept_bytes <= 50_000
    store.expire(100_000.0)
    assert len(store) == 0


def test_the_holder_of_a_queried_answer_is_probed() -> None:
    """A holder is probed when it is first queried, and again when it does not respond.

    A caller of a killed router asks another router for its stream, and the queries to the holder
    stay unanswered. Without a probe the killed router would remain among the callers' addresses.
    """
    control = Mailbox()
    remote = RemoteAnswers(control)
    remote.open("r2~1~1", "w", 0.0)
    assert DoubtRouter("r2") in control.drain()
    remote.check(100.0)
    assert DoubtRouter("r2") not in control.drain()
    remote.check(200.0)
    assert DoubtRouter("r2") in control.drain()


def test_slow_calls_of_one_workspace_leave_threads_for_others() -> None:
    # Ten threads read nine slow calls of one workspace and one of another. Without a limit per
    # workspace, slow callers of one workspace occupy all threads and no other caller is served.
    slow = SlowCallers(10.0, 10, 1.0)
    pairs = [socket.socketpair() for _ in range(10)]
    for number, (near, _) in enumerate(pairs):
        slow.watch(near)
        slow.label(near, "small" if number == 0 else "flood")
    assert slow.overdue(time.monotonic()) == []
    ended = slow.overdue(time.monotonic() + 1.0)
    assert len(ended) == 8 and pairs[0][0] not in ended
    assert slow.overdue(time.monotonic() + 11.0) == [pairs[9][0], pairs[0][0]]


def test_a_workspace_may_hold_at_most_alpha_times_the_free_capacity() -> None:
    guard = ShareGuard(10, 1.0)
    flood = [guard.take("flood") for _ in range(10)]
    assert flood.count(True) == 5
    assert guard.take("small")
    guard.give_back("flood")
    assert guard.free == 5
