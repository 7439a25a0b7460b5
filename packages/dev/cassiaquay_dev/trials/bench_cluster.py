"""The cluster of a bench run: slowed engines, few processes, processor accounting."""

import json
import os
import pathlib
import typing

from .. import cluster, deployments
from ..network import processes
from . import bounds

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PROCESSOR_TIME_FIELDS = (11, 12)


def scaled(deployment: deployments.Deployment, scale: float) -> deployments.Deployment:
    """Return a deployment whose engines are ``scale`` times slower.

    The engines' simulated speed has to limit a run, not the processors of the machine
    that it runs on.
    """
    engines = []
    for engine in deployment.engines:
        engines.append(
            engine._replace(
                prefill_tokens_per_second=engine.prefill_tokens_per_second / scale,
                step_ms=engine.step_ms * scale,
            )
        )
    return deployment._replace(engines=engines)


def processor_seconds(pid: int) -> float:
    """Return the user and system time of a process in seconds; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (
        sum(int(fields[index]) for index in PROCESSOR_TIME_FIELDS)
        / CLOCK_TICKS_PER_SECOND
    )


class BenchCluster(cluster.Cluster):
    """A cluster in which the first engine has its own process and the others share one.

    Parameters
    ----------
    deployment : Deployment
        The deployment, already scaled.
    daemons : int
        Number of instances.
    folder : Path
        Folder for settings and logs.
    policy : str
        Registered policy of the keepers, which admit requests to shards.
    scale : float
        Factor by which the engines are slowed.
    engine_settings : dict
        Settings that override the engines' defaults.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        daemons: int,
        folder: pathlib.Path,
        policy: str,
        scale: float,
        engine_settings: dict[str, float],
    ):
        super().__init__(deployment, daemons, folder, policy)
        self._decode_ms = bounds.DECODE_MS_PER_SEQUENCE * scale
        self._engine_settings = engine_settings

    def processor_seconds(self) -> dict[str, float]:
        """Return the processor time so far of each live process, by name."""
        found = {}
        for name, process in (self.standins | self.daemons).items():
            if process.returncode is None:
                found[name] = processor_seconds(process.pid)
        return found

    async def kill_first_engine(self) -> None:
        """Kill the first engine's process."""
        await self.standins["engines-0"].kill()

    async def kill_daemon(self) -> None:
        """Kill the last daemon."""
        await self.daemons[list(self.daemons)[-1]].kill()

    async def engine_state(
        self, engine: str, path: str
    ) -> dict[str, typing.Any] | None:
        """Return the response of an engine's control path, or None if it has ended."""
        if engine == self.deployment.engines[0].name:
            if self.standins["engines-0"].returncode is not None:
                return None
        address = self.addresses[engine]
        found = await self.control(address, "GET", path)
        return typing.cast(dict[str, typing.Any], found)

    async def _start_standins(self) -> None:
        await self._start_platform()
        engines = self.deployment.engines
        await self._start_engines("engines-0", engines[:1])
        await self._start_engines("engines-1", engines[1:])
        for plain in self.deployment.plains:
            await self._start_plain(plain)

    async def _start_engines(
        self, name: str, engines: list[deployments.EngineSpec]
    ) -> None:
        entries = []
        for engine in engines:
            entry: dict[str, object] = {
                "model": self.deployment.model,
                "prefill_tokens_per_second": engine.prefill_tokens_per_second,
                "step_ms": engine.step_ms,
                "decode_ms_per_sequence": self._decode_ms,
                "max_batch": engine.max_batch,
                "cache_tokens": engine.cache_tokens,
            }
            entries.append(entry | self._engine_settings)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({"engines": entries}))
        process = processes.Process(
            name,
            ["-m", "cassiaquay_dev.standins.engine", f"--config={path}"],
            self.folder,
        )
        self.standins[name] = process
        await process.start()
        await process.wait_for(lambda lines: len(_addresses(lines)) == len(engines))
        for engine, address in zip(engines, _addresses(process.lines()), strict=True):
            self.addresses[engine.name] = address


def _addresses(lines: list[str]) -> list[str]:
    found = []
    for line in lines:
        if line.startswith("ready address="):
            found.append(line.partition("=")[2])
    return found
