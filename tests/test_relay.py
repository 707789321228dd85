"""The relay's followers and kept answers, over socket pairs."""

from __future__ import annotations

import selectors
import socket
import time

from tamarack_core.clock import HeldClock
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
    return Relay(HeldClock(), Mailbox(), answers, ShareGuard(10, 1.0), tracing, limits)


def read_all(sock: socket.socket) -> bytes:
    data = b""
    while part := sock.recv(65_536):
        data += part
    return data


def test_an_event_of_a_follower_that_was_closed_in_the_same_round_is_passed_over() -> None:
    # Symptom: a router takes requests and answers none of them, until it is restarted.
    # Sequence: one round of the selector holds the end of an answer and the caller's closing of
    # its connection; the first closes the socket, the second still names it.
    # Cause: the event of a closed socket raised, and the relay's thread ended with it.
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


def test_a_stream_that_breaks_has_no_last_chunk() -> None:
    # Symptom: a page is published with half a policy on it.
    # Sequence: the engine dies in the middle of a stream and cannot give the rest.
    # Cause: an answer that ends in order looks whole; a missing last chunk shows the cut.
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


def test_a_whole_stream_ends_with_the_last_chunk() -> None:
    near, far = socket.socketpair()
    answer = KeptAnswer("r1~1~1", "w", stream=True)
    follower = Follower(near, answer)
    answer.begin(200, "text/event-stream")
    answer.body += b"data: all\n\n"
    answer.finish()
    follower.pump()
    follower.close()
    assert read_all(far).endswith(b"0\r\n\r\n")


def test_a_flood_does_not_push_out_a_small_workspaces_answer() -> None:
    # Symptom: a small shop cannot fetch its answer again while a large one is busy.
    # Sequence: one small answer is kept; hundreds of large ones follow from another workspace.
    # Cause: dropping the oldest of all answers; the oldest of the largest holder goes instead.
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


def test_a_router_that_is_asked_for_an_answer_is_probed() -> None:
    """The control task is told to probe a holder when it is first asked, and when it is silent.

    Symptom: a killed router stands among the callers' addresses after its streams have ended.
    Sequence: a caller of it asks here for its stream; the holder does not answer.
    Cause: the unanswered queries told nobody that the router may be gone.
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
    # Symptom: small shops get no answer while one workspace's callers hang on bad lines.
    # Sequence: nine slow calls of one workspace, one of another, ten threads.
    # Cause: threads are shared; past its part a workspace's oldest slow calls are ended.
    slow = SlowCallers(10.0, 10, 1.0)
    pairs = [socket.socketpair() for _ in range(10)]
    for number, (near, _) in enumerate(pairs):
        slow.watch(near)
        slow.label(near, "small" if number == 0 else "flood")
    assert slow.overdue(time.monotonic()) == []
    ended = slow.overdue(time.monotonic() + 1.0)
    assert len(ended) == 8 and pairs[0][0] not in ended
    assert slow.overdue(time.monotonic() + 11.0) == [pairs[9][0], pairs[0][0]]


def test_a_workspace_may_hold_only_what_is_free() -> None:
    guard = ShareGuard(10, 1.0)
    flood = [guard.take("flood") for _ in range(10)]
    assert flood.count(True) == 5
    assert guard.take("small")
    guard.give_back("flood")
    assert guard.free == 5
