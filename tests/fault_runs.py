"""Clusters under faults, with a recorder and the checker at the end."""

import asyncio
import collections.abc
import contextlib
import pathlib
import signal
import typing

import cassiaquay
from cassiaquay_dev import cluster, deployments
from cassiaquay_dev.network import partition
from cassiaquay_dev.trials import checker, history

BOUND_SECONDS = 60.0
ENGINE = deployments.EngineSpec("tutor-1", "derby", 20_000, 10.0, 4, 40_000)
# Engines made slow enough that a test can act while streams run.
SMALL = deployments.BRINDLEY._replace(
    engines=[ENGINE, ENGINE._replace(name="tutor-2", domain="leicester")],
    plains=deployments.BRINDLEY.plains[:2],
)


class Run:
    """A cluster, its recorder and sessions of callers."""

    def __init__(self, started: cluster.Cluster):
        self.cluster = started
        self.recorder = history.Recorder()
        self.sessions: list[cassiaquay.Session] = []
        self.partition = partition.Partition()

    def session(self, **values: typing.Any) -> cassiaquay.Session:
        """Return a recorded session of the first team."""
        team = self.cluster.deployment.teams[0]
        settings = cassiaquay.Settings(
            **{
                "seeds": self.cluster.seeds,
                "credential": team.credential,
                "silence_timeout": 2.0,
                "timeout": 40.0,
                **values,
            }
        )
        session = cassiaquay.Session(settings)
        self.recorder.watch(session, team.name)
        self.sessions.append(session)
        return session

    async def ask(self, session: cassiaquay.Session, prompt: str, **options):
        """Ask the model service; return the answer or the error."""
        service = self.cluster.deployment.model_service
        try:
            answer = await session.ask(service, prompt, **options)
        except cassiaquay.exceptions.CassiaquayError as error:
            self._told(error)
            return error
        self.recorder.record_answer(answer, self.cluster.deployment.teams[0].name)
        return answer

    async def book(self, session: cassiaquay.Session, **options):
        """Make a booking that may run once; return the answer or the error."""
        service = self.cluster.deployment.plain_service
        try:
            return await session.call(
                service, "/book", {"slot": 1}, idempotent=False, **options
            )
        except cassiaquay.exceptions.CassiaquayError as error:
            self._told(error)
            return error

    async def busiest(self) -> str:
        """Return the live instance with the most requests under way."""
        counts = {}
        for name, process in self.cluster.daemons.items():
            if process.returncode is None:
                counts[name] = (await self.cluster.status(name))["open"]
        return max(counts, key=lambda name: counts[name])

    async def open_at(self, name: str, count: int) -> None:
        """Wait until an instance holds so many requests under way."""
        async with asyncio.timeout(BOUND_SECONDS):
            while (await self.cluster.status(name))["open"] < count:
                await asyncio.sleep(0.02)

    async def arrivals(self) -> list[history.Arrived]:
        """Return what the back ends saw so far."""
        seen = history.History()
        await history.collect(self.cluster, seen)
        return seen.of(history.Arrived)

    async def dispatched(self, count: int) -> None:
        """Wait until the back ends saw so many requests."""
        async with asyncio.timeout(BOUND_SECONDS):
            while len(await self.arrivals()) < count:
                await asyncio.sleep(0.02)

    async def engines(self, path: str, body: object) -> None:
        """Call the control of every engine."""
        for engine in self.cluster.deployment.engines:
            address = self.cluster.addresses[engine.name]
            await self.cluster.control(address, "POST", path, body)

    async def check(self) -> list[checker.Breach]:
        """Return what the checker finds in everything that was written."""
        for session in self.sessions:
            await session.close()
        seen = history.History(list(self.recorder.history.events))
        await history.collect(self.cluster, seen)
        return checker.check(seen)

    def _told(self, error: cassiaquay.exceptions.CassiaquayError) -> None:
        if error.ran is False:
            self.recorder.record_outcome(error.request_id, "not_run", error.code)


@contextlib.asynccontextmanager
async def start(
    folder: pathlib.Path, daemons: int = 3, split: bool = False
) -> collections.abc.AsyncIterator[Run]:
    """Yield a started run; check its whole history at the end."""
    started = cluster.Cluster(SMALL, daemons, folder, level="DEBUG")
    run = Run(started)
    if split:
        started.use_partition(run.partition)
    try:
        async with asyncio.timeout(BOUND_SECONDS):
            await started.start()
        yield run
        breaches = await run.check()
    finally:
        for process in started.daemons.values():
            # A stopped process cannot act on SIGTERM.
            process.send(signal.SIGCONT)
        await started.stop()
        await run.partition.stop()
    assert breaches == []


def bounded(work: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run one test within a bound."""

    async def limited() -> None:
        async with asyncio.timeout(2 * BOUND_SECONDS):
            await work

    asyncio.run(limited())
