"""The deployment of a soak: store, engines, daemons, and proxies between them."""

import asyncio
import collections.abc
import pathlib
import random
import signal
import typing

import uvloop

from ..network import ports, processes, proxies
from ..standins import platform_standins
from . import callers, engines, exchange, records

READY_SECONDS = 15.0
CONTACT_SECONDS = 3.0
GRACE_SECONDS = 4.0
APPLY_SECONDS = 2.0
RETRY_SHARE = 0.2
RETRY_EXTRA = 60.0
LISTENERS = ("front", "ready", "directory", "peer")
TEAMS = {"key-a": "blue", "key-b": "green", "key-c": "small"}
# Tokens a second and at once of the team with little.
SMALL_RATE = 300.0
SMALL_BURST = 600.0
PLAIN_TOKENS = 20
WINDOW_SECONDS = 8.0
EXCESS = 0.25
SLACK = 2000.0
# An engine that crashed with a request is replaced after this time.
BACK_SECONDS = 1.0


class SoakSettings(typing.NamedTuple):
    """Settings of a soak.

    Attributes
    ----------
    seed : int
        Decides all chances.
    folder : str
        Where settings and logs go.
    daemons, engines : int
        How many; every second engine is of the plain service.
    rate : float
        Requests a second.
    seconds : float
        How long faults come.
    pause : float
        Mean seconds between the starts of faults; they overlap.
    only : str
        Kinds of faults, comma-separated; empty for the usual ones.
    also : str
        Kinds of faults beside the usual ones, comma-separated.
    """

    seed: int = 1
    folder: str = "target/soak"
    daemons: int = 4
    engines: int = 6
    rate: float = 40.0
    seconds: float = 20.0
    pause: float = 1.0
    only: str = ""
    also: str = ""


class Daemon:
    """One daemon process and the proxies around it."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: str,
        free: collections.abc.Iterator[int],
    ):
        self.name = name
        self.lives = 0
        self.wanted = False
        self.addresses = {use: f"127.0.0.1:{next(free)}" for use in LISTENERS}
        self.front = proxies.Proxy(self.addresses["front"])
        self.peer = proxies.Proxy(self.addresses["peer"])
        self.store = proxies.Proxy(store)
        # Faults overlap: one start or kill at a time.
        self._lock = asyncio.Lock()
        self.file = folder / f"{name}.toml"
        self._process = processes.Process(
            name, ["-m", "cassiaquay_dev.soak.launch", str(self.file)], folder
        )

    @property
    def proxies(self) -> list[proxies.Proxy]:
        """Its proxies."""
        return [self.front, self.peer, self.store]

    @property
    def is_running(self) -> bool:
        """Whether its process is there."""
        return self.lives > 0 and self._process.returncode is None

    async def start(self) -> None:
        """Start the process, unless it runs."""
        async with self._lock:
            if self.is_running:
                return
            await self._process.start()
            self.lives += 1
            self.wanted = True

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self._process.send(number)

    def tell(self, number: signal.Signals) -> None:
        """Send it a signal that it knows, unless its interpreter has yet to start."""
        if self.is_running and _handles(self._process.pid, number):
            self._process.send(number)

    async def kill(self) -> None:
        """End it at once."""
        async with self._lock:
            self.wanted = False
            await self._process.kill()

    async def stop(self) -> None:
        """Ask it to end, end it after its grace."""
        life = self.lives
        self.wanted = False
        self._process.send(signal.SIGTERM)
        end = records.now() + GRACE_SECONDS
        while self.is_running and records.now() < end:
            await asyncio.sleep(0.05)
            if self.lives != life:
                # Another fault has killed and started it meanwhile.
                return
        await self.kill()

    async def is_ready(self) -> bool:
        """Ask whether it is ready."""
        found = await exchange.get(self.addresses["ready"], "/cassiaquay/ready", 1.0)
        return found is not None and found.status == 200


class Site:
    """Everything that a soak runs."""

    def __init__(self, settings: SoakSettings):
        self.settings = settings
        # What callers and engines do; the faults have chances of their own.
        self.chance = random.Random(settings.seed)
        self.seen = records.Records()
        self.store = platform_standins.Store()
        self.daemons: list[Daemon] = []
        self.engines: dict[str, engines.Engine] = {}
        self.fronts: dict[str, proxies.Proxy] = {}
        self.keys = {"key-a", "key-c"}
        self.services = {path: _service(kind) for kind, path in callers.PATHS.items()}
        self._count = 0
        self._folder = pathlib.Path(settings.folder)
        self._watch: asyncio.Task[None] | None = None
        self._crashes: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start everything and wait until every daemon is ready."""
        self._folder.mkdir(parents=True, exist_ok=True)
        for old in self._folder.glob("*.log"):
            old.unlink()
        await self.store.start()
        for number in range(self.settings.engines):
            await self.add_engine("chat" if number % 2 else "plain")
        self.publish()
        free = ports.free_ports()
        for number in range(self.settings.daemons):
            name = f"cq-{number + 1}"
            made = Daemon(name, self._folder, self.store.address, free)
            self.daemons.append(made)
            for proxy in made.proxies:
                await proxy.start()
        for one in self.daemons:
            one.file.write_text(self._text(one, first=True))
            await one.start()
        async with asyncio.timeout(READY_SECONDS):
            for one in self.daemons:
                while not await one.is_ready():
                    if not one.is_running:
                        raise processes.StartError(f"{one.name} has ended")
                    await asyncio.sleep(0.05)
        for one in self.daemons:
            one.file.write_text(self._text(one, first=False))
        self._watch = asyncio.create_task(self._watch_ends())

    async def stop(self) -> None:
        """Stop everything."""
        if self._watch is not None:
            self._watch.cancel()
        for task in self._crashes:
            task.cancel()
        await asyncio.gather(*(one.stop() for one in self.daemons))
        for one in self.daemons:
            for proxy in one.proxies:
                await proxy.stop()
        for proxy in self.fronts.values():
            await proxy.stop()
        for engine in self.engines.values():
            await engine.stop()
        await self.store.stop()

    def _fronts(self) -> list[callers.Front]:
        """Return the daemons as callers know them."""
        found = []
        for one in self.daemons:
            uses = one.addresses
            found.append(
                callers.Front(
                    one.name, uses["front"], one.front.address, uses["directory"]
                )
            )
        return found

    def callers(self) -> callers.Callers:
        """Return callers of the daemons."""
        return callers.Callers(self._fronts(), self._lives_of, self.seen, self.chance)

    def _lives_of(self, name: str) -> int:
        """Return how often a daemon has been started."""
        return next(one.lives for one in self.daemons if one.name == name)

    def publish(self) -> None:
        """Write the configuration that is wanted now."""
        routes = []
        for route in platform_standins.ROUTES:
            service = self.services.get(str(route["path-prefix"]))
            if service is not None:
                routes.append(route | {"service": service})
        for path, service in self.services.items():
            if path not in callers.PATHS.values():
                routes.append(platform_standins.route(path, "idempotent", service))
        teams = []
        for key in sorted(self.keys):
            team: dict[str, typing.Any] = {"name": TEAMS[key], "api-keys": [key]}
            if key == "key-c":
                team |= {"rate-per-s": SMALL_RATE, "burst": SMALL_BURST}
                team |= {"unit": "tokens", "plain-tokens": PLAIN_TOKENS}
            teams.append(team)
        document = platform_standins.configuration(
            len(self.seen.changes) + 1, routes=routes, tenants=teams
        )
        self.store.put("op/config", document)
        self.seen.changes.append(
            records.Change(records.now(), frozenset(self.keys), dict(self.services))
        )

    async def add_engine(self, service: str) -> str:
        """Start an engine with a proxy before it and list it; return its id."""
        self._count += 1
        name = f"i-{self._count}"
        engine = engines.Engine(name, service, self.seen, self.chance, self._crashed)
        await engine.start()
        proxy = proxies.Proxy(engine.address)
        await proxy.start()
        self.engines[name] = engine
        self.fronts[name] = proxy
        self.enlist(name, "ready")
        return name

    def enlist(self, name: str, state: str) -> None:
        """Write an engine's entry."""
        entry = {
            "service": self.engines[name].service,
            "addr": self.fronts[name].address,
            "zone": "a",
            "slots": engines.SLOTS,
            "state": state,
            "born": self._count,
        }
        self.store.put(f"servers/{name}", entry)

    async def remove_engine(self, name: str) -> None:
        """Stop an engine."""
        await self.fronts.pop(name).stop()
        await self.engines.pop(name).stop()

    async def crash_engine(self, name: str, down: float) -> None:
        """Let an engine crash; a new one comes after some seconds."""
        service = self.engines[name].service
        self.seen.leaving[name] = records.FOREVER
        self.fronts[name].reset()
        await self.remove_engine(name)
        await asyncio.sleep(down)
        await self.add_engine(service)

    def _crashed(self, name: str) -> None:
        """Let an engine crash under a request."""
        task = asyncio.create_task(self._crash_by_request(name))
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)

    async def _crash_by_request(self, name: str) -> None:
        if name not in self.fronts:
            # Another request has crashed it a moment before.
            return
        start = records.now()
        self.seen.faults.add(name, start)
        await self.crash_engine(name, BACK_SECONDS)
        self.store.items.pop(f"servers/{name}", None)
        self.store.revision += 1
        self.seen.faults.end(name, start, records.now())

    async def _watch_ends(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for one in self.daemons:
                if one.wanted and not one.is_running:
                    self.seen.own_ends.append(f"{one.name} in life {one.lives}")
                    one.wanted = False

    def _text(self, one: Daemon, first: bool) -> str:
        seeds = ", ".join(f'"{other.peer.address}"' for other in self.daemons[:3])
        store = one.store.address
        return f"""\
instance = "{one.name}"
domain = "a"
keys = ["key-of-the-instances"]
seeds = [{seeds}]
peer_listen = "{one.addresses["peer"]}"
advertised_peer = "{one.peer.address}"
[platform]
configuration = "{store}"
configuration_adapter = "store"
instances = "{store}"
instances_adapter = "none"
text_format = "store"
servers = "{store}"
[keeper]
renew_seconds = 0.3
policy = "objectives"
[gateway]
front = "{one.addresses["front"]}"
ready = "{one.addresses["ready"]}"
directory = "{one.addresses["directory"]}"
first_start = {str(first).lower()}
grace_seconds = {GRACE_SECONDS}
apply_seconds = {APPLY_SECONDS}
quota_window_seconds = {WINDOW_SECONDS}
quota_excess = {EXCESS}
quota_slack = {SLACK}
retry_share = {RETRY_SHARE}
retry_extra = {RETRY_EXTRA}
"""


def _service(kind: str) -> str:
    return "chat" if kind in ("stream", "string") else "plain"


def _handles(pid: int, number: signal.Signals) -> bool:
    """Tell whether a process catches or ignores a signal."""
    handled = 0
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    for line in lines:
        name, _, mask = line.partition(":")
        if name in ("SigIgn", "SigCgt"):
            handled |= int(mask, 16)
    return bool(handled >> (number - 1) & 1)


def run(work: typing.Coroutine[typing.Any, typing.Any, typing.Any]) -> typing.Any:
    """Run a soak's work."""
    return uvloop.run(work)
