"""Measure the overhead and throughput of one daemon process on one core.

The single daemon is both owner and keeper. The same raw clients call the stand-in
directly and through the daemon, alternating within one run, at half the target rate
and at the target rate. The last phase sends the daemon more than it can relay; there
several events arrive in one read, which lowers the cost of each.
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

CLIENT_PROCESSES = 2
WARM_UP_SECONDS = 1.0
SHARD_OPENING_SECONDS = 1.5
START_SPREAD_SECONDS = 1.0
CLIENT_TIMEOUT_SECONDS = 60.0


class PathSettings(typing.NamedTuple):
    """Settings of the measurement.

    Attributes
    ----------
    seconds : float
        Duration of each measured phase.
    rounds : int
        Number of times that each phase is measured.
    aim : int
        Target rate in tokens per second.
    streams : int
        Concurrent streams in the phase of full load.
    interval_ms : float
        Time between events of a stream.
    tokens : int
        Mean number of events of an answer.
    prompt : int
        Length of each prompt in characters.
    policy : str
        Policy of the keeper; the default imposes no limit on admission.
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
        Rates received by the clients.
    first_p50, first_p99 : float
        Time to the first event.
    processor_share : float
        Processor time of the daemon as a share of one core.
    refused : int
        Number of refused requests; 0 in a valid phase.
    """

    tokens_per_second: float
    requests_per_second: float
    first_p50: float
    first_p99: float
    processor_share: float
    refused: int

    @property
    def microseconds_per_token(self) -> float:
        """Processor time of the daemon per event."""
        return self.processor_share * 1e6 / max(self.tokens_per_second, 1e-9)


class PathCluster(cluster.Cluster):
    """A cluster of one daemon and one fast engine stand-in."""

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
        line = next(
            through_daemon
            for through_daemon in process.lines()
            if through_daemon.startswith("ready ")
        )
        self.addresses[name] = line.partition("=")[2]


class _Measurement:
    """Runs the client processes of each phase against a cluster."""

    def __init__(
        self, settings: PathSettings, running_cluster: PathCluster, folder: pathlib.Path
    ):
        self._settings = settings
        self._cluster = running_cluster
        self._folder = folder
        self._phases = 0

    async def phase(self, streams: int, direct: bool) -> Phase:
        """Measure one phase, through the daemon or ``direct`` to the stand-in."""
        target = await self._client_settings(direct)
        clients = []
        for number in range(CLIENT_PROCESSES):
            name = f"client-{self._phases}-{number}"
            client_settings = target._replace(
                streams=max(streams // CLIENT_PROCESSES, 1)
            )
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(client_settings._asdict()))
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
        daemon = self._cluster.daemons["cq-1"].pid
        for client in clients:
            await client.start()
        # Measured over the middle of the phase, to exclude its start and end.
        await asyncio.sleep(START_SPREAD_SECONDS + WARM_UP_SECONDS + 1.0)
        before = bench_cluster.processor_seconds(daemon)
        start = time.monotonic()
        await asyncio.sleep(max(self._settings.seconds - 1.5, 0.5))
        spent = bench_cluster.processor_seconds(daemon) - before
        share = spent / (time.monotonic() - start)
        end = time.monotonic() + CLIENT_TIMEOUT_SECONDS
        while any(client.returncode is None for client in clients):
            if time.monotonic() > end:
                raise processes.StartError("a client does not end")
            await asyncio.sleep(processes.POLL_SECONDS)
        return [json.loads(client.lines()[-1]) for client in clients], share

    async def _client_settings(self, direct: bool) -> path_client.ClientSettings:
        settings = self._settings
        deployment = self._cluster.deployment
        body: dict[str, object] = {"prompt": "p" * settings.prompt}
        if direct:
            address = self._cluster.addresses[deployment.engines[0].name]
            path = "/v1/streams/"
        else:
            body["service"] = deployment.model_service
            address = self._cluster.seeds[0]
            url = f"http://{address}/v1/addresses"
            async with self._cluster.http.get(url) as response:
                token = (await response.json())["addresses"][0]["token"]
            path = f"/v1/requests/{token}~"
        return path_client.ClientSettings(
            address,
            path,
            f"Bearer {deployment.teams[0].credential}",
            body,
            settings.tokens,
            0,
            START_SPREAD_SECONDS,
            WARM_UP_SECONDS,
            settings.seconds,
        )


async def measure(settings: PathSettings) -> str:
    """Measure all phases and return their table."""
    phases: dict[str, list[Phase]] = {}
    with tempfile.TemporaryDirectory(prefix="cassiaquay-path-") as name:
        folder = pathlib.Path(name)
        running_cluster = PathCluster(settings, folder)
        try:
            await running_cluster.start()
            await asyncio.sleep(SHARD_OPENING_SECONDS)
            measurement = _Measurement(settings, running_cluster, folder)
            # Warm-up: the keeper opens its shard only after the first request.
            await measurement.phase(CLIENT_PROCESSES, direct=False)
            for _ in range(settings.rounds):
                for rate in (settings.aim // 2, settings.aim):
                    streams = int(rate * settings.interval_ms / 1000.0)
                    for direct in (True, False):
                        phase = await measurement.phase(streams, direct)
                        target_name = "direct" if direct else "daemon"
                        phases.setdefault(f"{target_name} {rate}/s", []).append(phase)
                phase = await measurement.phase(settings.streams, direct=False)
                phases.setdefault("daemon full", []).append(phase)
        finally:
            await running_cluster.stop()
    return table(settings, phases)


def table(settings: PathSettings, phases: dict[str, list[Phase]]) -> str:
    """Return medians over the rounds, and the latency that the daemon adds."""
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
        added = [
            getattr(through_daemon, column) - getattr(without_daemon, column)
            for through_daemon, without_daemon in pairs
        ]
        lines.append(
            f"added to {column} at {half} tokens/s: {statistics.median(added):.2f} ms"
            f" (each round: {', '.join(f'{value:.2f}' for value in added)})"
        )
    return "\n".join(lines)


def _median(phases: list[Phase], column: str) -> float:
    return float(statistics.median(getattr(phase, column) for phase in phases))
