"""The data path's own cost: what one daemon process relays on one core.

The daemon is the only one, so it is owner and keeper. The same raw clients call the
stand-in directly and by the daemon, in turn within one run, at half of the aimed rate
and at the aimed rate, and at last the daemon alone with more than it can relay. In
that last phase several events arrive in one read, so that each costs less.
"""

import asyncio
import json
import pathlib
import statistics
import tempfile
import time
import typing

import numpy

from .. import cluster, deployments
from ..network import processes
from . import bench_cluster, path_client

CLIENTS = 2
WARM_UP = 1.0
OPENING_SECONDS = 1.5
SPREAD = 1.0
LONGEST_SECONDS = 60.0


class PathSettings(typing.NamedTuple):
    """Settings of the measurement.

    Attributes
    ----------
    seconds : float
        Length of each measured phase.
    rounds : int
        Times that each phase is measured.
    aim : int
        Tokens a second that a daemon should relay; half of it is the half load.
    streams : int
        Streams open at a time in the phase of full load.
    interval_ms : float
        Time between two events of a stream.
    tokens : int
        Mean number of events of an answer.
    prompt : int
        Characters of each prompt.
    policy : str
        Policy of the keeper; the default bounds nothing.
    """

    seconds: float = 4.0
    rounds: int = 3
    aim: int = 8000
    streams: int = 500
    interval_ms: float = 20.0
    tokens: int = 50
    prompt: int = 400
    policy: str = "round-robin"


class Phase(typing.NamedTuple):
    """One measured phase; times in milliseconds.

    Attributes
    ----------
    tokens_per_second, requests_per_second : float
        As clients got them.
    first_p50, first_p99 : float
        Time to the first event.
    processor_share : float
        Of one core, by the daemon.
    refused : int
        Answers that were refused; 0 in a valid phase.
    """

    tokens_per_second: float
    requests_per_second: float
    first_p50: float
    first_p99: float
    processor_share: float
    refused: int

    @property
    def microseconds_per_token(self) -> float:
        """Processor time of the daemon for each event."""
        return self.processor_share * 1e6 / max(self.tokens_per_second, 1e-9)


class PathCluster(cluster.Cluster):
    """One daemon before one fast stand-in."""

    def __init__(self, settings: PathSettings, folder: pathlib.Path):
        base = deployments.deployments.get("brindley")
        engines = [base.engines[0]._replace(max_batch=100_000)]
        super().__init__(
            base._replace(engines=engines, plains=base.plains[:1]),
            1,
            folder,
            settings.policy,
        )
        self._path_settings = settings

    async def _start_standins(self) -> None:
        await self._start_platform()
        await self._start_plain(self.deployment.plains[0])
        flags = [f"--interval_ms={self._path_settings.interval_ms}"]
        name = self.deployment.engines[0].name
        process = await self._standin(name, flags, "fast_engine")
        line = next(one for one in process.lines() if one.startswith("ready "))
        self.addresses[name] = line.partition("=")[2]


class _Measurement:
    """The phases of one run."""

    def __init__(
        self, settings: PathSettings, started: PathCluster, folder: pathlib.Path
    ):
        self._settings = settings
        self._started = started
        self._folder = folder
        self._phases = 0

    async def phase(self, streams: int, direct: bool) -> Phase:
        """Measure one phase."""
        target = await self._target(direct)
        clients = []
        for number in range(CLIENTS):
            name = f"client-{self._phases}-{number}"
            mine = target._replace(streams=max(streams // CLIENTS, 1))
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(mine._asdict()))
            arguments = ["-m", "cassiaquay_dev.trials.path_client"]
            arguments += [f"--config={path}", f"--name={name}"]
            clients.append(processes.Process(name, arguments, self._folder))
        self._phases += 1
        results, share = await self._run(clients)
        first = [ms for result in results for ms in result["first_ms"]]
        p50, p99 = numpy.percentile(first or [float("nan")], [50, 99])
        seconds = self._settings.seconds
        return Phase(
            sum(result["tokens"] for result in results) / seconds,
            sum(result["requests"] for result in results) / seconds,
            float(p50),
            float(p99),
            share,
            sum(result["refused"] for result in results),
        )

    async def _run(
        self, clients: list[processes.Process]
    ) -> tuple[list[path_client.ClientResult], float]:
        daemon = self._started.daemons["cq-1"].pid
        for client in clients:
            await client.start()
        # The share is taken over the middle of the measured time, clear of its ends.
        await asyncio.sleep(SPREAD + WARM_UP + 1.0)
        before = bench_cluster.processor_seconds(daemon)
        start = time.monotonic()
        await asyncio.sleep(max(self._settings.seconds - 1.5, 0.5))
        spent = bench_cluster.processor_seconds(daemon) - before
        share = spent / (time.monotonic() - start)
        end = time.monotonic() + LONGEST_SECONDS
        while any(client.returncode is None for client in clients):
            if time.monotonic() > end:
                raise processes.StartError("a client does not end")
            await asyncio.sleep(processes.POLL_SECONDS)
        return [json.loads(client.lines()[-1]) for client in clients], share

    async def _target(self, direct: bool) -> path_client.ClientSettings:
        settings = self._settings
        deployment = self._started.deployment
        body: dict[str, object] = {"prompt": "p" * settings.prompt}
        if direct:
            address = self._started.addresses[deployment.engines[0].name]
            path = "/v1/streams/"
        else:
            body["service"] = deployment.model_service
            address = self._started.seeds[0]
            url = f"http://{address}/v1/addresses"
            async with self._started.http.get(url) as response:
                token = (await response.json())["addresses"][0]["token"]
            path = f"/v1/requests/{token}~"
        return path_client.ClientSettings(
            address,
            path,
            f"Bearer {deployment.teams[0].credential}",
            body,
            settings.tokens,
            0,
            SPREAD,
            WARM_UP,
            settings.seconds,
        )


async def measure(settings: PathSettings) -> str:
    """Return a table of the phases: by rate, beside the stand-in alone, and in full."""
    phases: dict[str, list[Phase]] = {}
    with tempfile.TemporaryDirectory(prefix="cassiaquay-path-") as name:
        folder = pathlib.Path(name)
        started = PathCluster(settings, folder)
        try:
            await started.start()
            await asyncio.sleep(OPENING_SECONDS)
            measurement = _Measurement(settings, started, folder)
            # The keeper opens its shard a while after the first request.
            await measurement.phase(CLIENTS, direct=False)
            for _ in range(settings.rounds):
                for rate in (settings.aim // 2, settings.aim):
                    streams = int(rate * settings.interval_ms / 1000.0)
                    for direct in (True, False):
                        phase = await measurement.phase(streams, direct)
                        way = "direct" if direct else "daemon"
                        phases.setdefault(f"{way} {rate}/s", []).append(phase)
                phase = await measurement.phase(settings.streams, direct=False)
                phases.setdefault("daemon full", []).append(phase)
        finally:
            await started.stop()
    return table(settings, phases)


def table(settings: PathSettings, phases: dict[str, list[Phase]]) -> str:
    """Return medians over the rounds, and what the daemon adds to the first event."""
    columns = [*Phase._fields, "us per token"]
    lines = ["| offered | " + " | ".join(columns) + " |"]
    lines.append("|---" * (len(columns) + 1) + "|")
    for name, rounds in phases.items():
        cells = []
        for column in Phase._fields:
            cells.append(f"{_median(rounds, column):.4g}")
        cells.append(f"{_median(rounds, 'microseconds_per_token'):.1f}")
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    half = settings.aim // 2
    pairs = list(
        zip(phases[f"daemon {half}/s"], phases[f"direct {half}/s"], strict=True)
    )
    lines.append("")
    for column in ("first_p50", "first_p99"):
        added = [getattr(one, column) - getattr(two, column) for one, two in pairs]
        lines.append(
            f"added to {column} at {half} tokens/s: {statistics.median(added):.2f} ms"
            f" (each round: {', '.join(f'{value:.2f}' for value in added)})"
        )
    return "\n".join(lines)


def _median(phases: list[Phase], column: str) -> float:
    return float(statistics.median(getattr(phase, column) for phase in phases))
