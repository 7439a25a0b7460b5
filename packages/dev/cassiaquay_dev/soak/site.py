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

READY_TIMEOUT_SECONDS = 15.0
# Time without a disturbance after which a daemon must keep its time bounds.
CONTACT_SECONDS = 3.0
GRACE_SECONDS = 4.0
APPLY_SECONDS = 2.0
RETRY_SHARE = 0.2
RETRY_EXTRA = 60.0
LISTENERS = ("front", "ready", "directory", "peer", "relay")
TEAMS = {"key-a": "blue", "key-b": "green", "key-c": "small"}
# Quota of the team `small`: tokens per second, and burst in tokens.
SMALL_RATE = 300.0
SMALL_BURST = 600.0
PLAIN_TOKENS = 20
WINDOW_SECONDS = 8.0
# Allowed excess over the quota: a share of it, and tokens.
EXCESS = 0.25
SLACK = 2000.0
# Factor by which brittle engines are slower, so that they are full.
BRITTLE_SLOWDOWN = 3.0
# Time after which an engine that a request crashed is replaced.
CRASH_RESTART_SECONDS = 1.0


class SoakSettings(typing.NamedTuple):
    """Settings of a soak.

    Attributes
    ----------
    seed : int
        Seed of all random generators.
    folder : str
        Directory for settings files and logs.
    daemons, engines : int
        Their numbers; every second engine serves the plain service.
    rate : float
        Requests per second.
    seconds : float
        Time in which faults start.
    pause : float
        Mean seconds between the starts of two faults; faults overlap.
    only : str
        Names of the faults to run, comma-separated; empty for the usual ones.
    also : str
        Names of faults to run beside the usual ones, comma-separated.
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


class Brittle(typing.NamedTuple):
    """How the engines of a service are brittle.

    Attributes
    ----------
    bears : int
        Rejections in a second above which one falls over.
    has_queue : bool
        Whether they still let requests wait.
    """

    bears: int
    has_queue: bool


class Daemon:
    """One daemon process and the proxies around it."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: str,
        free: collections.abc.Iterator[int],
        source: str,
    ):
        self.name = name
        # IP address from which it connects to engines.
        self.source = source
        # Lists the engines that it is cut off from, while the file exists.
        self.control = folder / f"{name}.cut"
        self.control.unlink(missing_ok=True)
        self.start_count = 0
        self.expected_running = False
        self.addresses = {use: f"127.0.0.1:{next(free)}" for use in LISTENERS}
        self.front = proxies.Proxy(self.addresses["front"])
        self.peer = proxies.Proxy(self.addresses["peer"])
        self.store = proxies.Proxy(store)
        # Faults overlap: one start or kill at a time.
        self._lock = asyncio.Lock()
        self.file = folder / f"{name}.toml"
        self._process = processes.Process(
            name,
            [
                "-m",
                "cassiaquay_dev.soak.launch",
                str(self.file),
                source,
                str(self.control),
            ],
            folder,
        )

    @property
    def proxies(self) -> list[proxies.Proxy]:
        """The proxies before its front and peer port, and to the store."""
        return [self.front, self.peer, self.store]

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.start_count > 0 and self._process.returncode is None

    async def start(self) -> None:
        """Start the process, unless it is running."""
        async with self._lock:
            if self.is_running:
                return
            await self._process.start()
            self.start_count += 1
            self.expected_running = True

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send(number)

    def send_if_handled(self, number: signal.Signals) -> None:
        """Send a signal if the process handles it.

        A process whose interpreter is still starting has no handler yet, and the
        signal would end it.
        """
        if self.is_running and _handles(self._process.pid, number):
            self._process.send(number)

    async def kill(self) -> None:
        """Kill the process."""
        async with self._lock:
            self.expected_running = False
            await self._process.kill()

    async def stop(self) -> None:
        """Send SIGTERM; kill the process after `GRACE_SECONDS`."""
        start_count = self.start_count
        self.expected_running = False
        self._process.send(signal.SIGTERM)
        end = records.now() + GRACE_SECONDS
        while self.is_running and records.now() < end:
            await asyncio.sleep(0.05)
            if self.start_count != start_count:
                # Another fault has killed and restarted the process meanwhile.
                return
        await self.kill()

    async def is_ready(self) -> bool:
        """Return whether the daemon's readiness endpoint answers 200."""
        found = await exchange.get(self.addresses["ready"], "/cassiaquay/ready", 1.0)
        return found is not None and found.status == 200


class Site:
    """The store, engines, daemons and proxies of a soak, and its records."""

    def __init__(self, settings: SoakSettings):
        self.settings = settings
        # For callers and engines; each fault has its own generator.
        self.rng = random.Random(settings.seed)
        self.recorded = records.Records()
        self.store = platform_standins.Store()
        self.daemons: list[Daemon] = []
        self.engines: dict[str, engines.Engine] = {}
        self.engine_proxies: dict[str, proxies.Proxy] = {}
        self.keys = {"key-a", "key-c"}
        self.services = {path: _service(kind) for kind, path in callers.PATHS.items()}
        # Services whose engines are brittle.
        self.brittle: dict[str, Brittle] = {}
        # Software version of the engines that are started from now on, by service.
        self.software = {"chat": "v1", "plain": "v1"}
        self._engine_count = 0
        self._folder = pathlib.Path(settings.folder)
        self._watch_task: asyncio.Task[None] | None = None
        self._crash_tasks: set[asyncio.Task[None]] = set()

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
            source = f"127.0.1.{number + 1}"
            daemon = Daemon(name, self._folder, self.store.address, free, source)
            self.daemons.append(daemon)
            for proxy in daemon.proxies:
                await proxy.start()
        for one in self.daemons:
            one.file.write_text(self._settings_text(one, first=True))
            await one.start()
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for one in self.daemons:
                while not await one.is_ready():
                    if not one.is_running:
                        raise processes.StartError(f"{one.name} has ended")
                    await asyncio.sleep(0.05)
        for one in self.daemons:
            one.file.write_text(self._settings_text(one, first=False))
        self._watch_task = asyncio.create_task(self._watch_unexpected_exits())

    async def stop(self) -> None:
        """Stop everything."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        for task in self._crash_tasks:
            task.cancel()
        await asyncio.gather(*(one.stop() for one in self.daemons))
        for one in self.daemons:
            for proxy in one.proxies:
                await proxy.stop()
        for proxy in self.engine_proxies.values():
            await proxy.stop()
        for engine in self.engines.values():
            await engine.stop()
        await self.store.stop()

    def _fronts(self) -> list[callers.Front]:
        """Return the addresses of the daemons for callers."""
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
        """Return a load generator for the daemons."""
        return callers.Callers(
            self._fronts(), self._start_count_of, self.recorded, self.rng
        )

    def _start_count_of(self, name: str) -> int:
        """Return how often the named daemon has been started."""
        return next(one.start_count for one in self.daemons if one.name == name)

    def publish(self) -> None:
        """Write a new configuration version from `keys` and `services`."""
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
            len(self.recorded.changes) + 1, routes=routes, tenants=teams
        )
        self.store.put("op/config", document)
        self.recorded.changes.append(
            records.Change(records.now(), frozenset(self.keys), dict(self.services))
        )

    async def add_engine(self, service: str, software: str = "") -> str:
        """Start an engine, by default of the newest version; return its id."""
        self._engine_count += 1
        name = f"i-{self._engine_count}"
        engine = engines.Engine(
            name,
            service,
            self.recorded,
            self.rng,
            self._start_crash,
            software or self.software[service],
        )
        await engine.start()
        proxy = proxies.Proxy(engine.address)
        await proxy.start()
        self.engines[name] = engine
        self.engine_proxies[name] = proxy
        self.apply_brittle()
        self.write_entry(name, "ready")
        self.recorded.engine_times[name] = records.EngineTime(
            name, service, engine.software, records.now(), records.FOREVER
        )
        return name

    def end_engine_time(self, name: str) -> None:
        """Record that an engine takes no new requests from now on."""
        known = self.recorded.engine_times[name]
        if known.end == records.FOREVER:
            self.recorded.engine_times[name] = known._replace(end=records.now())

    def apply_brittle(self) -> None:
        """Make the engines brittle, or not, by `brittle`."""
        for engine in self.engines.values():
            brittle = self.brittle.get(engine.service)
            engine.bears = None if brittle is None else brittle.bears
            engine.has_queue = brittle is None or brittle.has_queue
            engine.slowdown = 1.0 if brittle is None else BRITTLE_SLOWDOWN

    def write_entry(self, name: str, state: str) -> None:
        """Write an engine's entry to the store."""
        entry = {
            "service": self.engines[name].service,
            "addr": self.engine_proxies[name].address,
            "zone": "a",
            "slots": engines.SLOTS,
            "state": state,
            "born": self._engine_count,
            "version": self.engines[name].software,
        }
        self.store.put(f"servers/{name}", entry)

    async def remove_engine(self, name: str) -> None:
        """Stop an engine and its proxy."""
        self.end_engine_time(name)
        await self.engine_proxies.pop(name).stop()
        await self.engines.pop(name).stop()

    async def crash_engine(self, name: str, down: float) -> None:
        """Crash an engine; start its replacement after ``down`` seconds."""
        service, software = self.engines[name].service, self.engines[name].software
        self.recorded.leaving_since[name] = records.FOREVER
        self.engine_proxies[name].reset()
        await self.remove_engine(name)
        await asyncio.sleep(down)
        await self.add_engine(service, software)

    def _start_crash(self, name: str) -> None:
        """Start a task that crashes and replaces an engine; called by the engine."""
        task = asyncio.create_task(self._crash_by_request(name))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _crash_by_request(self, name: str) -> None:
        if name not in self.engine_proxies:
            # Another request has already crashed it.
            return
        start = records.now()
        self.recorded.faults.add(name, start)
        await self.crash_engine(name, CRASH_RESTART_SECONDS)
        self.store.items.pop(f"servers/{name}", None)
        self.store.revision += 1
        self.recorded.faults.end(name, start, records.now())

    async def _watch_unexpected_exits(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for one in self.daemons:
                if one.expected_running and not one.is_running:
                    self.recorded.unexpected_exits.append(
                        f"{one.name} in life {one.start_count}"
                    )
                    one.expected_running = False

    def _settings_text(self, one: Daemon, first: bool) -> str:
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
relay = "{one.addresses["relay"]}"
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
    """Return whether a process catches or ignores a signal."""
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
    """Run a coroutine in a uvloop event loop."""
    return uvloop.run(work)
