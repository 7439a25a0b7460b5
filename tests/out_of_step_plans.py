"""Generated plans: servers, faults and streams around an instance out of step.

Times are in seconds of the plan. What the store shows is computed from the processes.
"""

import bisect
import functools
import random
import typing

from cassiaquay_daemon import platform, positions
from cassiaquay_schema import messages

EPOCH = 1_700_000_000.0
HEARTBEAT_SECONDS = 1.2
HISTORY_SECONDS = 20.0
# Callers of streams have this time; streams are taken up within 10 s more.
CALLER_SECONDS = 2.0
# Faults begin after the service was observed for as long as a stream may last, or
# before.
LATE_SECONDS = 14.0
EARLY_SECONDS = 5.0
NEVER = 1e9
PAUSE = "pause"
STORE = "store"
OTHERS = "others"
DOMAIN = "domain"
# One way only: nothing arrives at the instance, or nothing from it.
DEAF = "deaf"
MUTE = "mute"
OUTAGE = "outage"
KINDS = (PAUSE, STORE, OTHERS, DOMAIN, DEAF, MUTE)
SECONDS = (0.3, 1.0, 3.0, 10.0)
# Others suspect an instance, and links break, when a fault lasts this long.
LONG_SECONDS = 3.0
# Servers that do not answer are asked again after this time.
REPEAT_SECONDS = 0.6
CHANGES = ("join", "join", "drain", "leave", "crash", "restart", "restart")
FIRST_REVISION = 10


class Process(typing.NamedTuple):
    """One process of a server; a restarted one takes over its name and entry."""

    name: str
    version: str
    born: float
    listed_at: float
    draining_at: float = NEVER
    removed_at: float = NEVER
    dead_at: float = NEVER
    states_start: bool = True

    @property
    def started_ms(self) -> int:
        """The start time that its entry and its report state; 0 for none."""
        return int((EPOCH + self.born) * 1000.0) if self.states_start else 0

    def is_running(self, at: float) -> bool:
        """Return whether it serves requests."""
        return self.born <= at < self.dead_at


class Fault(typing.NamedTuple):
    """What keeps one instance out of step for a time."""

    kind: str
    began_at: float
    ended_at: float

    def holds(self, at: float) -> bool:
        """Return whether it lasts at a time."""
        return self.began_at <= at < self.ended_at


class Stream(typing.NamedTuple):
    """A stream, and the instances that its caller returns to after each break.

    Attributes
    ----------
    seconds : float
        Time from its first event until it breaks.
    visits : tuple of (float, str)
        Time until each return, and the instance.
    is_recorded : bool
        Whether its caller names the attempt that brought events.
    """

    attempt: str
    began_at: float
    instance: str
    seconds: float
    visits: tuple[tuple[float, str], ...]
    is_recorded: bool = True


class _Event(typing.NamedTuple):
    at: float
    process: Process
    is_removal: bool


class Plan:
    """Everything that happens.

    Parameters
    ----------
    seed : int
        Seed of all choices that are not made here.
    domains : sequence of str
        Failure domains of the instances.
    """

    def __init__(self, seed: int, domains: typing.Sequence[str] = ("a", "b", "c")):
        self.random = random.Random(seed)
        self.instances = {f"cq-{n + 1}": item for n, item in enumerate(domains)}
        self.odd = "cq-1"
        self.faults: list[Fault] = []
        self.processes: list[Process] = []
        self.streams: list[Stream] = []
        # When instances are killed, and start again.
        self.kills: dict[str, tuple[float, float]] = {}
        # Delay of messages between instances and of the store's answers.
        self.delay_seconds = 0.002
        self.store_seconds = 0.01
        # Whether messages of a cut arrive after it, and how long links then take.
        self.keeps_messages = False
        self.relink_seconds = 0.0
        self.has_heartbeats = False

    @property
    def ended_at(self) -> float:
        """Time by which all streams have ended."""
        last = max((item.began_at for item in self.streams), default=0.0)
        back = max((back_at for _, back_at in self.kills.values()), default=0.0)
        faults = [fault.ended_at for fault in self.faults]
        return max([last, back, *faults]) + 4.0

    def pause(self) -> Fault | None:
        """Return the pause of the instance out of step."""
        for fault in self.faults:
            if fault.kind == PAUSE:
                return fault
        return None

    def has_fault(self, kind: str, at: float) -> bool:
        """Return whether a fault of a kind lasts."""
        return any(item.kind == kind and item.holds(at) for item in self.faults)

    def is_cut(self, kind: str, sender: str, receiver: str) -> bool:
        """Return whether a kind of fault stops messages from one to another."""
        if self.odd not in (sender, receiver):
            return False
        if kind == DOMAIN:
            other = receiver if sender == self.odd else sender
            return self.instances[other] == max(self.instances.values())
        if kind == OTHERS:
            return True
        return kind == (DEAF if receiver == self.odd else MUTE)

    def is_dialling(self, name: str, instance: str, now: float) -> bool:
        """Return whether there is no link yet after a long pause or cut."""
        if self.odd not in (name, instance) or self.keeps_messages:
            return False
        for fault in self.faults:
            if fault.ended_at - fault.began_at < LONG_SECONDS:
                continue
            is_broken = fault.kind == PAUSE
            is_broken = is_broken or self.is_cut(fault.kind, name, instance)
            is_broken = is_broken or self.is_cut(fault.kind, instance, name)
            until = fault.ended_at + self.relink_seconds
            if is_broken and fault.ended_at <= now < until:
                return True
        return False

    def running(self, name: str, at: float) -> Process | None:
        """Return the process that answers for a server."""
        for process in self.processes:
            if process.name == name and process.is_running(at):
                return process
        return None

    def has_silent(self, at: float) -> bool:
        """Return whether a listed server does not run the listed process, about then.

        A question for its report is repeated after half a second only.
        """
        for process in self.processes:
            is_gone = process.dead_at <= at + REPEAT_SECONDS
            if (
                is_gone
                and at < max(process.dead_at, process.removed_at) + REPEAT_SECONDS
            ):
                return True
        return False

    def has_usable(self, version: str, since: float, until: float) -> bool:
        """Return whether a server of a version could be used all the time."""
        for process in self.processes:
            ended_at = min(process.draining_at, process.removed_at, process.dead_at)
            if process.version == version and process.listed_at <= since:
                if ended_at > until:
                    return True
        return False

    @functools.cached_property
    def _events(self) -> list[_Event]:
        """Return the writes and removals of entries in order."""
        events = []
        for process in self.processes:
            ended_at = min(process.removed_at, process.dead_at)
            events.append(_Event(process.listed_at, process, False))
            if process.draining_at < process.removed_at:
                events.append(_Event(process.draining_at, process, False))
            if process.removed_at < NEVER and not self._is_replaced(process):
                events.append(_Event(process.removed_at, process, True))
            at = process.listed_at + HEARTBEAT_SECONDS
            while self.has_heartbeats and at < min(ended_at, self.ended_at):
                events.append(_Event(at, process, False))
                at += HEARTBEAT_SECONDS
        return sorted(events, key=lambda event: event.at)

    @functools.cached_property
    def _times(self) -> list[float]:
        return [event.at for event in self._events]

    def revision(self, at: float) -> int:
        """Return the store's revision."""
        return FIRST_REVISION + bisect.bisect_right(self._times, at)

    def read(self, at: float) -> platform.ServersRead:
        """Return the list of servers."""
        found = []
        for process in self.processes:
            if process.listed_at <= at < process.removed_at:
                found.append(self._entry(process, at))
        return platform.ServersRead(positions.Position(0, self.revision(at)), found)

    def read_past(self, at: float) -> platform.ServersPast:
        """Return the changes that the store still has."""
        removed_at: dict[str, int] = {}
        created_at: dict[str, int] = {}
        is_whole = at < HISTORY_SECONDS
        past = platform.ServersPast([], [], removed_at, created_at, is_whole)
        for event in self._events:
            if not at - HISTORY_SECONDS <= event.at <= at:
                continue
            name = event.process.name
            if event.is_removal:
                past.removed.append(name)
                removed_at[name] = self.revision(event.at)
                continue
            is_first = event.at == event.process.listed_at
            if is_first and not self._is_replacing(event.process):
                created_at[name] = self.revision(event.at)
            past.written.append(self._entry(event.process, event.at))
        return past

    def _entry(self, process: Process, at: float) -> messages.ServerEntry:
        written_at = process.listed_at
        if self.has_heartbeats:
            until = min(at, process.dead_at)
            beats = int((until - process.listed_at) / HEARTBEAT_SECONDS)
            written_at += max(beats, 0) * HEARTBEAT_SECONDS
        is_leaving = at >= process.draining_at
        if is_leaving:
            written_at = max(written_at, process.draining_at)
        return messages.ServerEntry(
            process.name,
            "chat",
            f"10.0.0.{process.name.partition('-')[2]}:80",
            "",
            4,
            is_leaving,
            process.started_ms,
            self.revision(written_at),
            0,
            process.version,
            1 + max(int((min(at, process.dead_at) - process.born) / 1.2), 0),
        )

    def _is_replaced(self, old: Process) -> bool:
        for process in self.processes:
            if process.name == old.name and process.listed_at == old.removed_at:
                return True
        return False

    def _is_replacing(self, new: Process) -> bool:
        for process in self.processes:
            if process.name == new.name and process.removed_at == new.listed_at:
                return True
        return False
