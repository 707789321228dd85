"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

from types import TracebackType

import pytest
from gateway_site import Answer, Fleet, play

from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_worker import PlatformWorker, Script

WHOLE = Script(events=4, unframed=True)
CRASHES = WHOLE._replace(events=2, fatal=True)


def ids(answer: Answer) -> list[int]:
    """Event ids of a streamed answer."""
    lines = answer.body.decode().splitlines()
    return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


async def ask(path: str, *workers: PlatformWorker) -> Answer:
    async with Fleet({"pool": list(workers)}) as fleet:
        return await fleet.ask(path)


@pytest.mark.parametrize("path", ["/draft/x", "/rewrite/x"])
def test_an_unframed_stream_is_passed_on_whole(path: str) -> None:
    async def run() -> None:
        answer = await ask(path, PlatformWorker("w1", WHOLE))
        assert (answer.status, answer.whole, ids(answer)) == (200, True, [1, 2, 3, 4])

    play(run())


@pytest.mark.parametrize(
    "broken",
    [
        CRASHES,
        CRASHES._replace(cut_after=1),
        WHOLE._replace(cut_after=1),
        CRASHES._replace(events=0),
        WHOLE._replace(events=0),
    ],
    ids=[
        "crash-between-events",
        "crash-inside-event",
        "reset-inside-event",
        "crash-before-first",
        "closed-before-first",
    ],
)
@pytest.mark.parametrize(("path", "resumable"), [("/draft/x", True), ("/rewrite/x", False)])
def test_an_unframed_stream_that_breaks_off_is_not_told_as_whole(
    path: str, resumable: bool, broken: Script
) -> None:
    """Failure: an answer whose endpoint crashed looks complete, since its connection closed."""

    async def run() -> None:
        answer = await ask(path, PlatformWorker("w1", broken), PlatformWorker("w2", broken))
        assert answer.status != 200 or not answer.whole
        first = PlatformWorker("w1", broken, WHOLE)
        answer = await ask(path, first, PlatformWorker("w2", broken, WHOLE))
        if answer.status == 200 and answer.whole:
            assert resumable
            assert ids(answer) == [1, 2, 3, 4]

    play(run())


def test_a_plain_answer_that_ends_with_its_endpoint_is_not_passed_on() -> None:
    """Failure: the beginning of an answer is told as the whole of it."""

    class Crashing(PlatformWorker):
        async def _answer(self, script, received, writer) -> bool:  # type: ignore[no-untyped-def]
            await super()._answer(script, received, writer)
            self.crash()
            return False

    async def run() -> None:
        workers = [Crashing("w1", Script(unframed=True))]
        async with Fleet({"web": workers}) as fleet:
            assert (await fleet.ask("/page/x")).status == 502

    play(run())


class ProxiedWorker(PlatformWorker):
    """A worker behind a proxy, which accepts connections also when the worker has crashed."""

    async def __aenter__(self) -> PlatformWorker:
        await super().__aenter__()
        self._link = FaultProxy(self.address)
        await self._link.__aenter__()
        self.address = self._link.address
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._link.__aexit__(kind, error, traceback)
        await super().__aexit__(kind, error, traceback)


def test_an_answer_that_ended_with_its_endpoint_clears_no_suspicion(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against a request that crashes endpoints and is cleared by an answer that it cut."""

    async def run() -> None:
        workers = [ProxiedWorker("w1"), ProxiedWorker("w2")]
        scripts = [CRASHES._replace(unframed=False), CRASHES]
        for worker in workers:
            worker._scripts = scripts
        async with Fleet({"pool": list(workers)}) as fleet:
            for _ in workers:
                await fleet.ask("/rewrite/x")
            assert [len(worker.received) for worker in workers] == [1, 1]

    play(run())
    assert "request cleared" not in capfd.readouterr().err
