"""A deployment on the loopback address: stand-ins and daemons as child processes."""

import asyncio
import json
import pathlib
import typing

import aiohttp

from . import deployments
from .network import partition, processes

KEY = "key-of-the-instances"


class DaemonAddresses(typing.NamedTuple):
    """Listening addresses of one daemon, as host:port."""

    http: str
    peer: str
    admin: str


class Cluster:
    """Starts, observes and stops the processes of one deployment.

    Parameters
    ----------
    deployment : Deployment
        Backend servers, services, tiers and teams of the deployment.
    daemons : int
        Number of instances.
    folder : Path
        Directory for settings files and logs.
    policy : str
        Placement policy of the keepers, the instances that admit requests to shards.
    extra : str
        Additional lines for the settings of each daemon.
    level : str
        Log level of the daemons.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        daemons: int,
        folder: pathlib.Path,
        policy: str = "tiered",
        extra: str = "",
        level: str = "INFO",
    ):
        self.deployment = deployment
        self.folder = folder
        self.addresses: dict[str, str] = {}
        self.daemons: dict[str, processes.Process] = {}
        self.listening: dict[str, DaemonAddresses] = {}
        self.standins: dict[str, processes.Process] = {}
        self.platform = ""
        self.http = aiohttp.ClientSession()
        self._count = daemons
        self._policy = policy
        self._extra = extra
        self._level = level
        self._partition: partition.Partition | None = None

    @property
    def seeds(self) -> list[str]:
        """The addresses of all daemons for callers."""
        return [one.http for one in self.listening.values()]

    async def start(self) -> None:
        """Start everything and wait until each daemon has the configuration."""
        await self._start_standins()
        await self.publish(deployments.fleet_text(self.deployment, self.addresses))
        names = [f"cq-{number}" for number in range(1, self._count + 1)]
        await asyncio.gather(*(self.start_daemon(name) for name in names))
        await asyncio.gather(*(self.wait_until_known(name) for name in names))

    def use_partition(self, partition_: partition.Partition) -> None:
        """Connect the instances through the proxies of a partition."""
        self._partition = partition_

    async def start_daemon(self, name: str) -> None:
        """Start one daemon and add it to the platform's instance list."""
        number = int(name.rpartition("-")[2])
        domain = self.deployment.domains[number % len(self.deployment.domains)]
        settings = self.folder / f"{name}.toml"
        if self._partition is not None:
            await self._partition.add(name)
        settings.write_text(self._settings(name, domain))
        process = processes.Process(
            name,
            ["-m", "cassiaquay_daemon.main", f"--settings={settings}"],
            self.folder,
        )
        self.daemons[name] = process
        before = len(process.lines())
        await process.start()
        await process.wait_for(
            lambda lines: _ready_addresses(lines[before:]) is not None
        )
        found = _ready_addresses(process.lines()[before:])
        assert found is not None
        if self._partition is not None:
            found = found._replace(
                peer=self._partition.proxy(name).forward_to(found.peer)
            )
        self.listening[name] = found
        await self.list_instance(name, "entry", domain, found.http, found.peer, "live")

    async def wait_until_known(self, name: str) -> None:
        """Wait until a daemon has a configuration and lists all started daemons."""
        process = self.daemons[name]
        end = asyncio.get_running_loop().time() + processes.START_SECONDS
        while True:
            status = await self.status(name)
            if status["revision"] and len(status["members"]) >= len(self.listening):
                return
            if asyncio.get_running_loop().time() > end:
                raise processes.StartError(
                    f"{process.name} does not list all daemons: {status}"
                )
            await asyncio.sleep(processes.POLL_SECONDS)

    async def status(self, name: str) -> dict[str, typing.Any]:
        """Return the status that a daemon reports to operators."""
        url = f"http://{self.listening[name].admin}/v1/status"
        async with self.http.get(url) as response:
            return typing.cast(dict[str, typing.Any], await response.json())

    async def publish(self, text: str) -> None:
        """Publish a fleet text, the configuration of the deployment."""
        url = f"http://{self.platform}/control/config"
        async with self.http.put(url, data=text.encode()) as response:
            response.raise_for_status()

    async def list_instance(
        self, name: str, kind: str, domain: str, http: str, peer: str, state: str
    ) -> None:
        """Add or replace an entry of the platform's instance list."""
        line = {
            "name": name,
            "kind": kind,
            "domain": domain,
            "http": http,
            "peer": peer,
            "state": state,
        }
        await self.control(self.platform, "PUT", "/control/instances", line)

    async def control(
        self, address: str, method: str, path: str, body: object = None
    ) -> typing.Any:
        """Call a control route of a stand-in; return its JSON answer."""
        url = f"http://{address}{path}"
        async with self.http.request(method, url, json=body) as response:
            response.raise_for_status()
            text = await response.text()
            return json.loads(text) if text else None

    async def stop(self) -> dict[str, int]:
        """Stop the daemons, then the stand-ins; return the daemons' exit statuses."""
        names = list(self.daemons)
        codes = await asyncio.gather(*(self.daemons[n].stop() for n in names))
        await asyncio.gather(*(one.stop() for one in self.standins.values()))
        await self.http.close()
        return dict(zip(names, codes, strict=True))

    async def _start_standins(self) -> None:
        starts = [self._start_platform()]
        for engine in self.deployment.engines:
            starts.append(self._start_engine(engine))
        for plain in self.deployment.plains:
            starts.append(self._start_plain(plain))
        await asyncio.gather(*starts)

    async def _start_platform(self) -> None:
        process = await self._standin("platform", ["--instances_lag_ms=200"])
        self.platform = _ready_address(process)

    async def _start_engine(self, engine: deployments.EngineSpec) -> None:
        flags = [
            f"--model={self.deployment.model}",
            f"--prefill_tokens_per_second={engine.prefill_tokens_per_second}",
            f"--step_ms={engine.step_ms}",
            f"--max_batch={engine.max_batch}",
            f"--cache_tokens={engine.cache_tokens}",
        ]
        process = await self._standin(engine.name, flags, "engine")
        self.addresses[engine.name] = _ready_address(process)

    async def _start_plain(self, plain: deployments.PlainSpec) -> None:
        flags = [f"--slots={plain.slots}", f"--service_ms={plain.service_ms}"]
        process = await self._standin(plain.name, flags, "plain")
        self.addresses[plain.name] = _ready_address(process)

    async def _standin(
        self, name: str, flags: list[str], module: str = "platform"
    ) -> processes.Process:
        process = processes.Process(
            name, ["-m", f"cassiaquay_dev.standins.{module}", *flags], self.folder
        )
        self.standins[name] = process
        await process.start()
        await process.wait_for(
            lambda lines: any(_is_ready_line(line) for line in lines)
        )
        return process

    def _settings(self, name: str, domain: str) -> str:
        advertised = ""
        if self._partition is not None:
            advertised = self._partition.proxy(name).address
        return f"""\
instance = "{name}"
domain = "{domain}"
keys = ["{KEY}"]
advertised_peer = "{advertised}"
{self._extra}
[platform]
configuration = "{self.platform}"
instances = "{self.platform}"
[keeper]
policy = "{self._policy}"
[logs]
format = "json"
level = "{self._level}"
"""


def _is_ready_line(line: str) -> bool:
    return line.startswith("ready address=")


def _ready_address(process: processes.Process) -> str:
    line = next(line for line in process.lines() if _is_ready_line(line))
    return line.partition("=")[2]


def _ready_addresses(lines: list[str]) -> DaemonAddresses | None:
    for line in lines:
        if not line.startswith("{"):
            continue
        event = json.loads(line)
        if event.get("event") == "ready":
            return DaemonAddresses(event["http"], event["peer"], event["admin"])
    return None
