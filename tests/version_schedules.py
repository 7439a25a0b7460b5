"""Generated schedules of servers of several versions, and the streams that begin there.

Everything is computed: a schedule of some seconds takes some milliseconds.
"""

import asyncio
import random
import types
import typing
from unittest import mock

from cassiaquay_daemon import clock, platform
from cassiaquay_daemon.decisions import stream_origins, version_choice
from cassiaquay_daemon.gateway import derivations
from cassiaquay_schema import fleet, messages

EPOCH = 1_700_000_000.0
# The kill of all instances, in seconds of the schedule.
KILLED_AT = 100.0
HEARTBEAT_SECONDS = 1.2
HISTORY_SECONDS = 20.0
MAX_LAG_SECONDS = 1.0
CALLER_SECONDS = 15.0
NEVER = 1e9
KINDS = ("start", "replace", "drain", "crash", "restart")


class Server(typing.NamedTuple):
    """One process of a server; times in seconds of the schedule."""

    name: str
    version: str
    slots: int
    born: float
    listed_at: float
    # When it reports that it leaves, when its entry is removed, when it dies.
    draining_at: float = NEVER
    removed_at: float = NEVER
    dead_at: float = NEVER

    def is_ready(self, at: float) -> bool:
        """Return whether it is listed for new work."""
        return self.listed_at <= at < min(self.draining_at, self.removed_at)

    def entry(self, at: float, revision: int) -> messages.ServerEntry:
        """Return its entry as of some time."""
        return messages.ServerEntry(
            self.name,
            "chat",
            "h:1",
            "",
            self.slots,
            at >= self.draining_at,
            int((EPOCH + self.born) * 1000.0),
            revision,
            0,
            self.version,
            1 + int((at - self.born) / HEARTBEAT_SECONDS),
        )


class Stream(typing.NamedTuple):
    """A stream that had begun before the kill."""

    attempt: str
    began_at: float
    version: str


class Schedule:
    """Servers that come and go around a kill of all instances.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    changes : int
        How many servers come, leave, crash or restart.
    since : float
        Time after which they do.
    history_seconds : float, optional
        How far back the platform's history reaches.
    is_heartbeat_known : bool, optional
        Whether instances know the time between two writes of an entry.
    has_heartbeats : bool, optional
        Whether the platform's history has each report of a server.
    """

    def __init__(
        self,
        seed: int,
        changes: int,
        since: float,
        history_seconds: float = HISTORY_SECONDS,
        is_heartbeat_known: bool = True,
        has_heartbeats: bool = True,
    ):
        self._heartbeat_seconds = HEARTBEAT_SECONDS if is_heartbeat_known else 0.0
        self._has_heartbeats = has_heartbeats
        self._random = random.Random(seed)
        self._history_seconds = history_seconds
        self.taken_up_at = KILLED_AT + self._random.uniform(0.5, 4.0)
        self.servers: list[Server] = []
        for _ in range(self._random.randint(2, 6)):
            self._start(self._random.uniform(0.0, 5.0))
        for _ in range(changes):
            self._change(self._random.uniform(since, self.taken_up_at))

    def start(self, born: float) -> None:
        """Add a server."""
        self._start(born)

    def crash_version(self, at: float) -> None:
        """Let all servers of one version crash, and another one of it start at once."""
        version = self.servers[0].version
        for number, server in enumerate(self.servers):
            if server.version == version:
                crashed = server._replace(dead_at=at, removed_at=at + 3.6)
                self.servers[number] = crashed
        self._start(at)
        self.servers[-1] = self.servers[-1]._replace(version=version)

    def begin(self, count: int) -> list[Stream]:
        """Return streams that begin by the rule in the time before the kill."""
        streams = []
        for number in range(count):
            at = KILLED_AT - self._random.uniform(0.1, 9.0)
            attempt = f"{self._random.random()}-{number}"
            version = self._first_version(attempt, at)
            if version is not None:
                streams.append(Stream(attempt, at, version))
        return streams

    def derive(self, stream: Stream) -> str | None:
        """Return the version at which a caller's stream goes on; None if nowhere."""
        at = self.taken_up_at
        known = mock.Mock(steady_since=at)
        checks = mock.Mock(entries=lambda service: self._entries())
        known.entries = self._entries
        past, read_past = mock.Mock(), self._past()

        async def read() -> platform.ServersPast:
            return read_past

        past.read = read
        before = clock.use(lambda: at)
        try:
            with mock.patch("time.time", return_value=EPOCH + at):
                made = derivations.Derivations(
                    known, past, checks, self._heartbeat_seconds
                )
                made.note_servers()
                made.note_new(call("new", CALLER_SECONDS))
                # The caller may have made an attempt before the one that is named.
                left = CALLER_SECONDS - (at - stream.began_at)
                left -= min(self._random.choice([0.0, 0.5]), left - 0.001)
                asking = call(stream.attempt, left)
                derived = asyncio.run(made.derive(asking, CALLER_SECONDS + 10.0))
        finally:
            clock.use(before)
        if derived is None:
            return None
        for server in self.servers:
            if server.version != derived.software or server.name in derived.young:
                continue
            if server.is_ready(at) and at < server.dead_at:
                return derived.software
        return None

    def _first_version(self, attempt: str, at: float) -> str | None:
        view_at = at - self._random.uniform(0.0, MAX_LAG_SECONDS)
        view = [server for server in self.servers if server.is_ready(view_at)]
        if not view:
            return None
        listed = []
        for server in view:
            listed.append(
                fleet.Server(
                    name=server.name,
                    address="h:1",
                    slots=server.slots,
                    software=server.version,
                    started_ms=int((EPOCH + server.born) * 1000.0),
                )
            )
        version = version_choice.choose(stream_origins.key_of("", attempt), listed)
        alive = [server for server in view if at < server.dead_at]
        usable = [item for item in alive if version in (None, item.version)]
        chosen = usable or alive
        return self._random.choice(chosen).version if chosen else None

    def _start(self, born: float, name: str = "") -> None:
        listed_at = born + self._random.uniform(0.1, 1.5)
        self.servers.append(
            Server(
                name or f"i-{self._random.getrandbits(40):x}",
                self._random.choice(["v1", "v1", "v2", "v3"]),
                self._random.choice([4, 4, 8]),
                born,
                listed_at,
            )
        )

    def _change(self, at: float) -> None:
        kind = self._random.choice(KINDS)
        if kind == "start":
            self._start(at)
            return
        standing = [s for s in self.servers if s.is_ready(at) and at < s.dead_at]
        standing = [s for s in standing if s.draining_at == NEVER == s.removed_at]
        if not standing:
            return
        old = self._random.choice(standing)
        self.servers.remove(old)
        if kind in ("drain", "replace"):
            removed_at = at + self._random.choice([0.0, 2.0])
            self.servers.append(
                old._replace(
                    draining_at=at, removed_at=removed_at, dead_at=removed_at + 1.0
                )
            )
            if kind == "replace":
                self._start(at - self._random.uniform(0.0, 2.0))
            return
        if kind == "crash":
            self.servers.append(old._replace(dead_at=at, removed_at=at + 3.6))
            return
        self.servers.append(old._replace(dead_at=at, removed_at=at + 1.0))
        self._start(at, old.name)
        self.servers[-1] = self.servers[-1]._replace(listed_at=at + 1.0)

    def _entries(self) -> list[messages.ServerEntry]:
        at = self.taken_up_at
        found = []
        for server in self.servers:
            if server.listed_at <= at < server.removed_at:
                found.append(server.entry(at, self._revision(at)))
        return found

    def _past(self) -> platform.ServersPast:
        """Return the changes that the platform's history shows."""
        began_at = self.taken_up_at - self._history_seconds
        events: list[tuple[float, Server, bool]] = []
        for server in self.servers:
            at = server.listed_at
            while at <= min(self.taken_up_at, server.removed_at, server.dead_at):
                if self._has_heartbeats or at == server.listed_at:
                    events.append((at, server, True))
                at += HEARTBEAT_SECONDS * self._random.uniform(0.95, 1.05)
            if server.removed_at <= self.taken_up_at and not self._is_listed_again(
                server
            ):
                events.append((server.removed_at, server, False))
        removed: list[str] = []
        removed_at: dict[str, int] = {}
        created_at: dict[str, int] = {}
        written = []
        for at, server, is_write in sorted(events, key=lambda item: item[0]):
            if at < began_at:
                continue
            revision = self._revision(at)
            if not is_write:
                removed.append(server.name)
                removed_at[server.name] = revision
                continue
            if at == server.listed_at and not self._is_replacing(server):
                created_at[server.name] = revision
            written.append(server.entry(at, revision))
        return platform.ServersPast(written, removed, removed_at, created_at)

    def _is_listed_again(self, old: Server) -> bool:
        """Return whether a process replaces the entry of the one before."""
        for server in self.servers:
            if server.name == old.name and server.listed_at == old.removed_at:
                return True
        return False

    def _is_replacing(self, new: Server) -> bool:
        """Return whether a process takes over the entry of the one before."""
        for server in self.servers:
            if server.name == new.name and server.removed_at == new.listed_at:
                return True
        return False

    def _revision(self, at: float) -> int:
        return int(at * 1000.0)


def call(attempt: str, seconds: float) -> typing.Any:
    """Return a call of a new stream, or of one that is taken up."""
    route = types.SimpleNamespace(name="r", shares=("chat",), timeout_seconds=15.0)
    parsed = types.SimpleNamespace(resumes=attempt, deadline_ms=int(seconds * 1000.0))
    return types.SimpleNamespace(
        service="chat", route=route, parsed=parsed, team_name=""
    )
