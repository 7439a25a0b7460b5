"""Runs clusters of real processes under faults and checks their recorded history."""

import asyncio
import collections
import collections.abc
import contextlib
import pathlib
import signal
import typing

import cassiaquay
from cassiaquay_dev import cluster, deployments
from cassiaquay_dev.network import partition
from cassiaquay_dev.standins import engine_stream
from cassiaquay_dev.trials import checker, history

TIMEOUT_SECONDS = 60.0
IN_PROGRESS_STATES = (engine_stream.PREFILL, engine_stream.DECODING)
ENGINE = deployments.EngineSpec("tutor-1", "derby", 20_000, 10.0, 4, 40_000)
# Engines that are slow enough for a test to inject faults while they stream.
SMALL = deployments.BRINDLEY._replace(
    engines=[ENGINE, ENGINE._replace(name="tutor-2", domain="leicester")],
    plains=deployments.BRINDLEY.plains[:2],
)


class Run:
    """A cluster with its callers' sessions and a recorder of their history."""

    def __init__(self, started: cluster.Cluster):
        self.cluster = started
        self.recorder = history.Recorder()
        self.sessions: list[cassiaquay.Session] = []
        self.partition = partition.Partition()

    def session(self, **values: typing.Any) -> cassiaquay.Session:
        """Return a session of the first team whose requests are recorded."""
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
        """Send a request to the model service; return the answer or the error."""
        service = self.cluster.deployment.model_service
        try:
            answer = await session.ask(service, prompt, **options)
        except cassiaquay.exceptions.CassiaquayError as error:
            self._record_not_run(error)
            return error
        self.recorder.record_answer(answer, self.cluster.deployment.teams[0].name)
        return answer

    async def book(self, session: cassiaquay.Session, **options):
        """Send a request that is not idempotent; return the answer or the error."""
        service = self.cluster.deployment.plain_service
        try:
            return await session.call(
                service, "/book", {"slot": 1}, idempotent=False, **options
            )
        except cassiaquay.exceptions.CassiaquayError as error:
            self._record_not_run(error)
            return error

    async def find_busiest(self) -> str:
        """Return the running instance with the most requests in progress.

        It waits until there is one. Instances whose requests all wait for a permit
        don't count, however many they are: nothing of theirs runs at a back end.
        """
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                counts = await self._count_in_progress()
                if counts:
                    return counts.most_common(1)[0][0]
                await asyncio.sleep(0.02)

    async def _count_in_progress(self) -> collections.Counter[str]:
        """Return the requests that model engines are serving, by running instance."""
        collected = history.History()
        await history.collect_back_ends(self.cluster, collected)
        engine_names = {engine.name for engine in self.cluster.deployment.engines}
        counts: collections.Counter[str] = collections.Counter()
        for event in collected.of(history.Arrived):
            owner = event.key.partition(".")[0]
            process = self.cluster.daemons[owner]
            if event.server not in engine_names or process.returncode is not None:
                continue
            if event.state in IN_PROGRESS_STATES:
                counts[owner] += 1
        return counts

    async def collect_arrivals(self) -> list[history.Arrived]:
        """Return the requests that backend servers have received so far."""
        collected = history.History()
        await history.collect(self.cluster, collected)
        return collected.of(history.Arrived)

    async def wait_for_arrivals(self, count: int) -> None:
        """Wait until backend servers have received ``count`` requests."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(await self.collect_arrivals()) < count:
                await asyncio.sleep(0.02)

    async def control_engines(self, path: str, body: object) -> None:
        """Send a command to the control interface of every engine."""
        for engine in self.cluster.deployment.engines:
            address = self.cluster.addresses[engine.name]
            await self.cluster.control(address, "POST", path, body)

    async def check(self) -> list[checker.Breach]:
        """Close all sessions; return the checker's findings in the whole history."""
        for session in self.sessions:
            await session.close()
        collected = history.History(list(self.recorder.history.events))
        await history.collect(self.cluster, collected)
        return checker.check(collected)

    def _record_not_run(self, error: cassiaquay.exceptions.CassiaquayError) -> None:
        if error.ran is False:
            self.recorder.record_outcome(error.request_id, "not_run", error.code)


@contextlib.asynccontextmanager
async def start(
    folder: pathlib.Path, daemons: int = 3, split: bool = False
) -> collections.abc.AsyncIterator[Run]:
    """Start a cluster and yield its run; check the history when the block ends."""
    started = cluster.Cluster(SMALL, daemons, folder, level="DEBUG")
    run = Run(started)
    if split:
        started.use_partition(run.partition)
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await started.start()
        yield run
        breaches = await run.check()
    finally:
        for process in started.daemons.values():
            # A process stopped by SIGSTOP does not handle SIGTERM.
            process.send(signal.SIGCONT)
        await started.stop()
        await run.partition.stop()
    assert breaches == []


def run_with_timeout(
    scenario: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Run the coroutine of one test with a time limit."""

    async def limited() -> None:
        async with asyncio.timeout(2 * TIMEOUT_SECONDS):
            await scenario

    asyncio.run(limited())
