"""The deployment of a soak: store, engines, daemons, and proxies between them."""

import asyncio
import pathlib
import random
import typing

import uvloop

from ..network import forwarding, ports, processes, proxies
from ..standins import platform_standins
from . import callers, daemons, engine_proxies, engines, records

READY_TIMEOUT_SECONDS = 15.0
# Time without a disturbance after which a daemon must keep its time bounds.
CONTACT_SECONDS = 3.0
APPLY_SECONDS = 2.0
RETRY_SHARE = 0.2
RETRY_EXTRA = 60.0
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
# Interval of the checks of the soak's own event loop, and the least lag that counts.
LAG_CHECK_SECONDS = 0.02
MIN_LAG_SECONDS = 0.03
# Name of the fault for which each engine gets a process that a signal can stop.
PAUSE_FAULT = "engine_paused"


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
    recovery : float
        Seconds for which callers go on after the last fault, to check the recovery.
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
    recovery: float = 9.0

    @property
    def has_forwarders(self) -> bool:
        """Whether a forwarding process stands before each engine."""
        return PAUSE_FAULT in (*self.only.split(","), *self.also.split(","))


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


class Site:
    """The store, engines, daemons and proxies of a soak, and its records."""

    def __init__(self, settings: SoakSettings):
        self.settings = settings
        # For callers and engines; each fault has its own generator.
        self.rng = random.Random(settings.seed)
        self.recorded = records.Records()
        self.store = platform_standins.Store()
        self.daemons: list[daemons.Daemon] = []
        self.engines: dict[str, engines.Engine] = {}
        self.engine_proxies: dict[str, proxies.Proxy] = {}
        # Between an engine and its proxy, for the fault that pauses engines.
        self.forwarders: dict[str, forwarding.Forwarder] = {}
        self.keys = {"key-a", "key-c"}
        self._document: dict[str, typing.Any] = {}
        # State in each engine's entry, while it has one.
        self._entry_states: dict[str, str] = {}
        self.services = {path: _service(kind) for kind, path in callers.PATHS.items()}
        # Services whose engines are brittle.
        self.brittle: dict[str, Brittle] = {}
        # Software version of the engines that are started from now on, by service.
        self.software = {"chat": "v1", "plain": "v1"}
        self._engine_count = 0
        # Whether a daemon is out of step with a release.
        self.is_out_of_step = False
        self._folder = pathlib.Path(settings.folder)
        self._watch_tasks: list[asyncio.Task[None]] = []
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
            daemon = daemons.Daemon(
                name, self._folder, self.store.address, free, source
            )
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
        for watch in (self._watch_daemons(), self._watch_lag()):
            self._watch_tasks.append(asyncio.create_task(watch))

    async def stop(self) -> None:
        """Stop everything."""
        try:
            await self._stop()
        finally:
            await asyncio.gather(*(one.kill() for one in self.forwarders.values()))

    async def _stop(self) -> None:
        for task in (*self._watch_tasks, *self._crash_tasks):
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
        self._document = document
        self.publish_again()
        self.recorded.changes.append(
            records.Change(records.now(), frozenset(self.keys), dict(self.services))
        )

    def publish_again(self) -> None:
        """Write the newest configuration version."""
        self.store.put("op/config", self._document)

    async def add_engine(self, service: str, software: str = "") -> str:
        """Start an engine, by default of the newest version; return its id."""
        self._engine_count += 1
        name = f"i-{self._engine_count}"
        software = software or self.software[service]
        engine = self._make_engine(name, service, software)
        await engine.start()
        address = engine.address
        if self.settings.has_forwarders:
            forwarder = forwarding.Forwarder(name, address, self._folder)
            self.forwarders[name] = forwarder
            await forwarder.start()
            address = forwarder.address
        proxy = engine_proxies.EngineProxy(name, address, self.recorded)
        await proxy.start()
        self.engines[name] = engine
        self.engine_proxies[name] = proxy
        self.apply_brittle()
        self.write_entry(name, "ready")
        self._start_engine_time(engine)
        return name

    def _make_engine(self, name: str, service: str, software: str) -> engines.Engine:
        return engines.Engine(
            name, service, self.recorded, self.rng, self._start_crash, software
        )

    def _start_engine_time(self, engine: engines.Engine) -> None:
        self.recorded.engine_times[engine.name] = records.EngineTime(
            engine.name, engine.service, engine.software, records.now(), records.FOREVER
        )

    async def restart_engine(
        self, name: str, software: str, entry_after: float
    ) -> None:
        """Restart an engine under its name; its entry follows after some seconds."""
        self.recorded.breaks.add(name, records.now())
        before = self.engines[name]
        self.engine_proxies[name].reset()
        await before.stop()
        engine = self._make_engine(name, before.service, software)
        await engine.start()
        self.engines[name] = engine
        self.engine_proxies[name].target = engine.address
        self._start_engine_time(engine)
        await asyncio.sleep(entry_after)
        if name in self._entry_states:
            self.write_entry(name, "ready")

    def is_paused(self, name: str) -> bool:
        """Return whether a signal has stopped an engine."""
        return name in self.forwarders and self.forwarders[name].is_paused

    def check_forwarders(self) -> None:
        """Raise StartError if a forwarding process has ended by itself."""
        for one in self.forwarders.values():
            if one.returncode is not None:
                raise processes.StartError(f"{one.name} ended with {one.returncode}")

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
            "born": self.engines[name].born,
            "version": self.engines[name].software,
        }
        self.store.put(f"servers/{name}", entry)
        self._entry_states[name] = state

    def remove_entry(self, name: str) -> None:
        """Remove an engine's entry, unless it has expired."""
        self._entry_states.pop(name, None)
        if f"servers/{name}" in self.store.items:
            self.store.remove(f"servers/{name}")

    def write_entries_again(self) -> None:
        """Write the entries of all engines, and remove those of engines that left."""
        for name in list(self.engines):
            if name in self._entry_states:
                self.write_entry(name, self._entry_states[name])
        prefix = "servers/"
        for key in list(self.store.items):
            name = key.removeprefix(prefix)
            if key.startswith(prefix) and name not in self._entry_states:
                self.remove_entry(name)

    async def remove_engine(self, name: str) -> None:
        """Stop an engine and its proxy."""
        self.end_engine_time(name)
        self.recorded.breaks.add(name, records.now())
        await self.engine_proxies.pop(name).stop()
        await self.engines.pop(name).stop()
        if name in self.forwarders:
            await self.forwarders.pop(name).kill()

    async def crash_engine(self, name: str, down: float) -> None:
        """Crash an engine; start its replacement after ``down`` seconds."""
        service, software = self.engines[name].service, self.engines[name].software
        self.recorded.leaving_since[name] = records.FOREVER
        self.engine_proxies[name].reset()
        await self.remove_engine(name)
        await asyncio.sleep(down)
        await self.add_engine(service, software)

    async def end_engine_process(self, name: str, down: float) -> None:
        """End an engine's process as a kernel does; replace it after some seconds.

        The listening socket closes first, then every connection in order.
        """
        service, software = self.engines[name].service, self.engines[name].software
        self.recorded.leaving_since[name] = records.FOREVER
        self.recorded.process_ends.add(name)
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
        self.remove_entry(name)
        self.recorded.faults.end(name, start, records.now())

    async def _watch_lag(self) -> None:
        """Record by how much the event loop is late."""
        while True:
            due_at = records.now() + LAG_CHECK_SECONDS
            await asyncio.sleep(LAG_CHECK_SECONDS)
            seconds = records.now() - due_at
            if seconds > MIN_LAG_SECONDS:
                self.recorded.lags.append(records.Lag(due_at + seconds, seconds))

    async def _watch_daemons(self) -> None:
        """Record the memory that daemons use, and those that end by themselves."""
        peaks = self.recorded.memory_peaks
        while True:
            await asyncio.sleep(0.1)
            for one in self.daemons:
                life = f"{one.name} in life {one.start_count}"
                if one.is_running:
                    start = (one.name, one.start_count)
                    self.recorded.daemon_starts.setdefault(start, records.now())
                    peaks[life] = max(peaks.get(life, 0), one.read_memory_peak())
                if one.expected_running and not one.is_running:
                    self.recorded.unexpected_exits.append(life)
                    one.expected_running = False

    def _settings_text(self, one: daemons.Daemon, first: bool) -> str:
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
grace_seconds = {daemons.GRACE_SECONDS}
apply_seconds = {APPLY_SECONDS}
quota_window_seconds = {WINDOW_SECONDS}
quota_excess = {EXCESS}
quota_slack = {SLACK}
retry_share = {RETRY_SHARE}
retry_extra = {RETRY_EXTRA}
"""


def _service(kind: str) -> str:
    return "chat" if kind in ("stream", "string") else "plain"


def run(work: typing.Coroutine[typing.Any, typing.Any, typing.Any]) -> typing.Any:
    """Run a coroutine in a uvloop event loop."""
    return uvloop.run(work)
