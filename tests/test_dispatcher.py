"""One dispatcher: grants, limits of endpoints, silent routers, shards."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tamarack_core.dispatch_messages import (
    USAGE_FAILED,
    USAGE_FINISHED,
    USAGE_RUNNING,
    Grants,
    Poll,
    PollAck,
    Probe,
    RefuseTickets,
    Register,
    RunningGrant,
    ShardKey,
    Ticket,
    Usage,
)
from tamarack_core.dispatch_policy import DispatchPolicy
from tamarack_core.dispatcher import Dispatcher
from tamarack_core.endpoint_pool import EndpointPool, EndpointSpec, LoadReport
from tamarack_core.errors import ErrorCode
from tamarack_core.estimator import Estimator

SHARD = ShardKey("model", 0)


def make(slots: int = 2, endpoints: int = 2, **policy: object) -> Dispatcher:
    chosen = DispatchPolicy(default_cost=10.0)._replace(**policy)
    dispatcher = Dispatcher(SHARD, 1, chosen, 0.0, registration_ms=0.0)
    specs = [EndpointSpec(f"e{n}", "", "a", slots) for n in range(endpoints)]
    dispatcher.configure(specs, chosen, {}, 0.0)
    return dispatcher


def grants_of(dispatcher: Dispatcher, now_ms: float) -> list[tuple[str, str]]:
    return [
        (grant.request, grant.endpoint)
        for send in dispatcher.dispatch(now_ms)
        if isinstance(send.message, Grants)
        for grant in send.message.grants
    ]


events = st.lists(
    st.one_of(
        st.tuples(st.just("submit"), st.sampled_from("abc"), st.integers(1, 400)),
        st.tuples(st.just("finish"), st.integers(0, 50), st.integers(0, 400)),
        st.tuples(st.just("fail"), st.integers(0, 50), st.just(0)),
        st.tuples(st.just("cancel"), st.integers(0, 50), st.just(0)),
        st.tuples(st.just("wait"), st.integers(1, 3_000), st.just(0)),
        st.tuples(st.just("register"), st.just(0), st.just(0)),
    ),
    max_size=80,
)


@settings(max_examples=150, deadline=None)
@given(events)
def test_nothing_is_granted_twice_and_no_slot_is_free_while_a_ticket_waits(
    history: list[tuple[str, str | int, int]],
) -> None:
    dispatcher = make()
    now_ms = 0.0
    number = 0
    running: dict[str, str] = {}
    waiting: dict[str, str] = {}
    granted: set[str] = set()
    for kind, first, second in history:
        now_ms += 10.0
        if kind == "submit":
            number += 1
            request = f"q{number}"
            waiting[request] = str(first)
            dispatcher.submit("r1", [Ticket(request, str(first), hint=second)], now_ms)
        elif kind in ("finish", "fail") and running:
            request = sorted(running)[int(first) % len(running)]
            state = USAGE_FINISHED if kind == "finish" else USAGE_FAILED
            dispatcher.usage("r1", [Usage(request, second, state)], now_ms)
            del running[request]
        elif kind == "cancel" and waiting:
            request = sorted(waiting)[int(first) % len(waiting)]
            dispatcher.cancel("r1", [request], now_ms)
            del waiting[request]
        elif kind == "wait":
            now_ms += float(first)
            dispatcher.poll("r1", Poll(SHARD, 1, len(waiting), len(running)), now_ms)
            dispatcher.tick(now_ms)
        elif kind == "register":
            registered = [RunningGrant(r, w, "e0", 10.0) for r, w in sorted(running.items())]
            tickets = [Ticket(r, w) for r, w in sorted(waiting.items())]
            dispatcher.register("r1", Register(SHARD, 1, tickets, registered, {}), now_ms)
        for request, _ in grants_of(dispatcher, now_ms):
            assert request in waiting and request not in granted
            granted.add(request)
            running[request] = waiting.pop(request)
        assert dispatcher.running == len(running)
        assert dispatcher.waiting == len(waiting)
        assert not (dispatcher.pool.has_free and waiting)


def test_cost_beyond_the_estimate_is_charged_during_the_run() -> None:
    # A workspace with hints that are always too low must not get several times its share. If the
    # cost beyond the small charge at the grant were charged only at the end, its long runs would
    # not count until then.
    dispatcher = make(slots=1, endpoints=2)
    dispatcher.submit("r1", [Ticket("l1", "liar", hint=1), Ticket("h1", "honest")], 0.0)
    assert len(grants_of(dispatcher, 0.0)) == 2
    dispatcher.usage("r1", [Usage("l1", 500, USAGE_RUNNING)], 1.0)
    assert dispatcher.queue.counter("liar") >= 500
    dispatcher.submit("r1", [Ticket("l2", "liar", hint=1), Ticket("h2", "honest")], 2.0)
    dispatcher.usage("r1", [Usage("h1", 10, USAGE_FINISHED)], 3.0)
    assert [request for request, _ in grants_of(dispatcher, 3.0)] == ["h2"]


def test_a_first_request_is_charged_like_others_whatever_its_hint_allows() -> None:
    # The second request of a small workspace must not wait for two seconds during a flood. Its
    # first requests have a hint of 1,000 tokens and need 30, others need 60. The full hint was
    # charged until the first request was settled.
    estimator = Estimator(200.0)
    for _ in range(300):
        estimator.learn("busy", 60.0)
    assert estimator.estimate("new", hint=1_000.0) < 70.0
    assert estimator.estimate("new", hint=20.0) == 20.0
    for _ in range(3):
        estimator.learn("new", 500.0)
    assert estimator.estimate("new", hint=20.0) > 100.0


def test_a_queue_is_bounded_per_workspace() -> None:
    dispatcher = make(queue_limit=3)
    dispatcher.submit("r1", [Ticket(f"f{n}", "flood") for n in range(8)], 0.0)
    sends = dispatcher.submit("r1", [Ticket("f9", "flood"), Ticket("s1", "small")], 0.0)
    (refused,) = [send.message for send in sends if isinstance(send.message, RefuseTickets)]
    assert [(r.request, r.code) for r in refused.refusals] == [("f9", ErrorCode.QUEUE_FULL)]
    assert dispatcher.queue.waiting_of("small") == 1


def test_a_ticket_past_its_deadline_is_refused_at_once() -> None:
    dispatcher = make(slots=1, endpoints=1)
    dispatcher.submit("r1", [Ticket("a", "w"), Ticket("b", "w", deadline_ms=50)], 0.0)
    grants_of(dispatcher, 0.0)
    (send,) = [s for s in dispatcher.tick(60.0) if isinstance(s.message, RefuseTickets)]
    assert [r.request for r in send.message.refusals] == ["b"]
    assert send.message.refusals[0].retry_after_ms > 0


def test_a_burst_after_idleness_is_not_refused() -> None:
    # No stream of a burst of 128 may be refused for its deadline while slots are free. The
    # workspace sends single requests first, and the time between them was counted as the time
    # between grants under load.
    dispatcher = make(slots=100, endpoints=2)
    for number in range(20):
        now_ms = number * 5_000.0
        dispatcher.submit("r1", [Ticket(f"q{number}", "w")], now_ms)
        assert len(grants_of(dispatcher, now_ms)) == 1
        dispatcher.usage("r1", [Usage(f"q{number}", 5, USAGE_FINISHED)], now_ms + 1)
    burst = [Ticket(f"b{number}", "w", deadline_ms=10_000) for number in range(128)]
    assert dispatcher.submit("r1", burst, 200_000.0) == []
    assert len(grants_of(dispatcher, 200_000.0)) == 128


def test_a_ticket_that_cannot_meet_its_deadline_is_refused_at_once() -> None:
    dispatcher = make(slots=1, endpoints=1)
    dispatcher.submit("r1", [Ticket(f"q{number}", "w") for number in range(40)], 0.0)
    for number in range(20):
        now_ms = number * 1_000.0
        ((request, _),) = grants_of(dispatcher, now_ms)
        dispatcher.usage("r1", [Usage(request, 5, USAGE_FINISHED)], now_ms + 999)
    grants_of(dispatcher, 20_000.0)
    sends = dispatcher.submit("r1", [Ticket("late", "w", deadline_ms=2_000)], 20_000.0)
    (refused,) = [send.message for send in sends if isinstance(send.message, RefuseTickets)]
    assert [(r.request, r.code) for r in refused.refusals] == [("late", ErrorCode.DEADLINE)]


def test_the_slots_of_a_silent_router_are_released_and_registered_again() -> None:
    # Slots must not stay idle for seconds after a router is killed while tickets wait. The router
    # holds all slots and does not answer probes. Membership needs seconds to declare it dead, and
    # its grants stayed until then.
    dispatcher = make()
    dispatcher.submit("r1", [Ticket(f"q{n}", "w") for n in range(4)], 0.0)
    assert len(grants_of(dispatcher, 0.0)) == 4
    dispatcher.submit("r2", [Ticket("other", "v")], 100.0)
    assert grants_of(dispatcher, 100.0) == []
    probes = [send for send in dispatcher.tick(350.0) if isinstance(send.message, Probe)]
    assert [send.router for send in probes] == ["r1"]
    dispatcher.tick(750.0)
    assert [request for request, _ in grants_of(dispatcher, 750.0)] == ["other"]
    # The router was only partitioned: after two differing polls it is asked to register.
    poll = Poll(SHARD, 1, 0, 4)
    assert not dispatcher.poll("r1", poll, 800.0).message.resync
    answer = dispatcher.poll("r1", poll, 900.0).message
    assert isinstance(answer, PollAck) and answer.resync


def test_a_lost_grant_is_issued_again() -> None:
    # A grant is lost in transit; the router still waits and registers its ticket.
    dispatcher = make(slots=1, endpoints=1)
    dispatcher.submit("r1", [Ticket("q", "w")], 0.0)
    assert grants_of(dispatcher, 0.0)
    message = Register(SHARD, 1, [Ticket("q", "w")], [], {})
    dispatcher.register("r1", message, 100.0)
    assert grants_of(dispatcher, 100.0) == []
    dispatcher.register("r1", message, 1_000.0)
    assert [request for request, _ in grants_of(dispatcher, 1_000.0)] == ["q"]


# Endpoints


def pool_of(*specs: EndpointSpec) -> EndpointPool:
    pool = EndpointPool()
    pool.configure(list(specs), 0.0)
    return pool


def test_the_slot_limit_of_a_slow_engine_decreases_and_recovers() -> None:
    pool = pool_of(EndpointSpec("old", "", "a", 8))
    for _ in range(10):
        pool.report("old", LoadReport(True, 0, step_ms=30.0, idle_step_ms=10.0), 0.0)
    assert pool.slots < 4
    for _ in range(30):
        pool.report("old", LoadReport(True, 0, step_ms=12.0, idle_step_ms=10.0), 0.0)
    assert pool.slots == 8


def test_a_failing_endpoint_backs_off_and_recovers_with_one_probe() -> None:
    pool = pool_of(EndpointSpec("e", "", "a", 4))
    pool.take("e", 0.0)
    pool.release("e", 0.0, failed=True)
    assert pool.choose(10.0) is None
    pool.refresh(400.0)
    assert pool.choose(400.0) == "e"
    pool.take("e", 400.0)
    assert pool.choose(400.0) is None
    pool.release("e", 500.0)
    assert pool.free_slots(500.0) == 4


def test_foreign_load_occupies_slots_despite_lagging_reports() -> None:
    # After a partition another dispatcher has filled the engine.
    pool = pool_of(EndpointSpec("e", "", "a", 4))
    pool.report("e", LoadReport(True, in_flight=3), 0.0)
    assert pool.free_slots(0.0) == 1
    # A report from before the pool's own releases must not block slots.
    pool.report("e", LoadReport(True, in_flight=0), 100.0)
    pool.take("e", 200.0)
    pool.release("e", 300.0)
    pool.report("e", LoadReport(True, in_flight=1), 400.0)
    assert pool.free_slots(400.0) == 4


def test_a_leaving_engine_and_one_with_another_model_get_no_grant() -> None:
    pool = pool_of(EndpointSpec("e", "", "a", 4, False, "m"))
    pool.report("e", LoadReport(True, model="other"), 0.0)
    assert pool.choose(0.0) is None
    pool.report("e", LoadReport(True, model="m"), 0.0)
    assert pool.choose(0.0) == "e"
    pool.report("e", LoadReport(True, model="m", leaving=True), 0.0)
    assert pool.choose(0.0) is None


def test_an_endpoint_that_the_platform_lists_as_leaving_gets_no_grant() -> None:
    pool = pool_of(EndpointSpec("e", "", "a", 4))
    pool.set_leaving(frozenset({"e"}), 0.0)
    assert pool.choose(0.0) is None
    pool.configure([EndpointSpec("e", "", "a", 6)], 0.0)
    assert pool.choose(0.0) is None
    pool.set_leaving(frozenset(), 0.0)
    assert pool.choose(0.0) == "e"


def test_a_prompt_prefers_the_endpoint_of_its_prefix_unless_much_busier() -> None:
    pool = pool_of(EndpointSpec("a", "", "x", 4), EndpointSpec("b", "", "x", 4))
    pool.take("b", 0.0, prefix=7)
    assert pool.choose(0.0, prefix=7) == "b"
    assert pool.choose(0.0, prefix=8) == "a"
    for _ in range(2):
        pool.take("b", 0.0)
    assert pool.choose(0.0, prefix=7) == "a"
