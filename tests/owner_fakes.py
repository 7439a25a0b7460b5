"""Fakes for tests of the owner: capacity that grants, scripted backend servers."""

import asyncio
import contextlib
import hashlib
import json
import typing

from cassiaquay_daemon import clock, exceptions
from cassiaquay_daemon.adapters import answers, backends
from cassiaquay_daemon.configured import snapshots
from cassiaquay_daemon.decisions import quarantine
from cassiaquay_daemon.keepers import permissions
from cassiaquay_daemon.owners import owner, tokens
from cassiaquay_schema import fleet, messages, texts
from cassiaquay_schema import settings as settings_schema

KEY = "key"
SETTINGS = """
instance = "cq-1"
domain = "derby"
keys = ["key"]
[platform]
configuration = "127.0.0.1:1"
instances = "127.0.0.1:1"
[owner]
"""
TEAM = hashlib.sha256(b"secret").hexdigest()
OTHER = hashlib.sha256(b"other").hexdigest()
FLEET = f"""
[tiers.urgent]
rank = 0
[tiers.standard]
rank = 1
[tiers.background]
rank = 2
[teams.questions]
credentials = ["{TEAM}"]
tiers = ["standard", "urgent", "background"]
[teams.parents]
credentials = ["{OTHER}"]
tiers = ["standard"]
[models.m]
[pools.engines]
adapter = "fake-engine"
servers = [{{ name = "e-1", address = "127.0.0.1:1", model = "m" }},
           {{ name = "e-2", address = "127.0.0.1:2", model = "m" }}]
[pools.plain]
adapter = "fake-plain"
servers = [{{ name = "p-1", address = "127.0.0.1:3" }}]
[services.tutor]
pool = "engines"
model = "m"
[services.finishing]
pool = "engines"
model = "m"
on_disconnect = "finish"
[services.bookings]
pool = "plain"
"""


class Servers:
    """Records what the fake backend servers receive, and scripts their replies.

    ``script`` holds one function of the answer for each dispatch, which awaits, appends
    events and returns or raises; the last one is repeated.
    """

    def __init__(self) -> None:
        self.seen: list[str] = []
        self.stopped: list[str] = []
        self.script: list[typing.Any] = [complete]
        self.connecting: asyncio.Event | None = None


async def complete(answer: answers.Answer) -> None:
    answer.append(b'{"text":"a"}')


async def hang(answer: answers.Answer) -> None:
    await asyncio.Event().wait()


async def cut(answer: answers.Answer) -> None:
    answer.append(b'{"text":"a"}')
    raise exceptions.StreamInterrupted("cut")


async def broken(answer: answers.Answer) -> None:
    raise exceptions.ConnectionBroken("reset")


class FakeEngine:
    can_stop = True

    def __init__(self, servers: Servers):
        self._servers = servers

    async def run(
        self,
        server: fleet.Server,
        call: backends.Call,
        answer: answers.Answer,
        before_sending: backends.BeforeSending,
        on_signals: backends.OnSignals,
    ) -> backends.TokenUsage:
        if self._servers.connecting is not None:
            await self._servers.connecting.wait()
        before_sending()
        self._servers.seen.append(call.key)
        script = self._servers.script
        step = script.pop(0) if len(script) > 1 else script[0]
        await step(answer)
        return backends.TokenUsage(1, 0, answer.count)

    async def resume(
        self, server: fleet.Server, key: str, answer: answers.Answer
    ) -> backends.TokenUsage:
        raise exceptions.StreamNotFound(key)

    async def cancel(
        self, server: fleet.Server, key: str
    ) -> backends.WastedTokens | None:
        self._servers.stopped.append(key)
        return backends.WastedTokens(7, 0)


class FakePlain(FakeEngine):
    can_stop = False


if "fake-engine" not in backends.backends.names():
    backends.backends.register("fake-engine")(FakeEngine)
    backends.backends.register("fake-plain")(FakePlain)
SNAPSHOT = snapshots.read(1, FLEET)


class Keepers:
    """Grants every demand while open; otherwise demands wait until it is opened."""

    def __init__(self) -> None:
        self.open = True
        self.lifetime = 10.0
        self.demands_received: list[messages.Demand] = []
        self.given_back: list[str] = []
        self.released: list[messages.Release] = []
        self.changed = asyncio.Event()

    async def obtain(
        self, demand: messages.Demand, deadline: float
    ) -> permissions.Permission:
        self.demands_received.append(demand)
        while not self.open:
            await self.changed.wait()
        server = "p-1" if demand.shard.startswith("plain") else "e-1"
        if server in demand.avoid:
            server = "e-2"
        return permissions.Permission(server, clock.now() + self.lifetime, demand.shard)

    def let_through(self) -> None:
        self.open = True
        self.changed.set()

    def give_back(self, demand: messages.Demand) -> None:
        self.given_back.append(demand.id)

    def dispatched(self, shard: str, item: messages.Outstanding, answer) -> None:
        pass

    def release(self, message: messages.Release) -> None:
        self.released.append(message)


class Crashes:
    """Quarantine of requests that crash servers, without reports of other instances."""

    def __init__(self, settings: settings_schema.Settings):
        self._quarantine = quarantine.Quarantine(settings)
        self.holds = self._quarantine.holds
        self.crashed = self._quarantine.crashed
        self.completed = self._quarantine.completed


class Bench:
    """An owner with fake keepers and fake backend servers."""

    def __init__(self, **limits: float):
        lines = "\n".join(f"{name} = {value}" for name, value in limits.items())
        settings = texts.read_settings(SETTINGS + lines)
        self.servers = Servers()
        self.keepers = Keepers()
        self.leaving: set[str] = set()
        self.owner = owner.Owner(
            settings,
            "0123456789ab",
            typing.cast(typing.Any, self.servers),
            self.keepers,
            lambda name: name in self.leaving,
            lambda: "127.0.0.1:9",
        )
        self.owner.use_crash_reports(Crashes(settings))
        self._count = 0

    def new_id(self, seconds: float | None = None) -> tokens.RequestId:
        """Return an unused id whose token expires after ``seconds`` of uptime."""
        self._count += 1
        token = self.owner.mint()
        if seconds is not None:
            token = tokens.mint(KEY, "cq-1", "0123456789ab", seconds)
        return tokens.parse([KEY], f"{token}~{self._count}")

    def submit(
        self,
        request_id: tokens.RequestId,
        *,
        read: bool = True,
        team: str = "questions",
        **body: typing.Any,
    ):
        """Submit a request and, unless ``read`` is false, attach a reader."""
        values = {"service": "tutor", "prompt": "why?", "max_tokens": 3, **body}
        if values["service"] == "bookings":
            values = {"service": "bookings", "path": "/book", **body}
        data = json.dumps(values).encode()
        entry = self.owner.submit(request_id, team, data, SNAPSHOT)
        if read:
            self.owner.attach(entry)
        return entry


async def ended(entry) -> dict[str, typing.Any]:
    """Return the final event of an entry, within a bounded time."""
    async with asyncio.timeout(10.0):
        while entry.answer.final is None:
            await entry.answer.wait(entry.answer.count)
    return entry.answer.final


async def until(condition: typing.Callable[[], bool]) -> None:
    """Let the loop run until a condition holds, within a bounded time."""
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.001)


@contextlib.contextmanager
def later(monkeypatch: typing.Any, seconds: float):
    """Set the daemon's clock ahead, as after a pause of the process."""
    real = clock.now
    with monkeypatch.context() as patch:
        patch.setattr(clock, "now", lambda: real() + seconds)
        yield
