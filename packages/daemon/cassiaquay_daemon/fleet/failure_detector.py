"""Failure detector: probes silent members through others before suspecting them."""

import collections.abc

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs, rendezvous
from ..links import peers
from . import facts

# This many other instances are asked whether they receive heartbeats of a silent one,
# for this many periods before it is suspected: a single broken connection is no proof
# of a failure.
HELPER_COUNT = 3
PROBE_PERIODS = 2.0
NEVER = float("-inf")

SendTo = collections.abc.Callable[[str, messages.Message], None]


def rank(instance: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return the names in the order in which ``instance`` prefers them as neighbours.

    Scores are symmetric, so most neighbours are mutual and few connections are needed.
    Every instance can compute which ones exchange heartbeats.
    """

    def score(name: str) -> int:
        return rendezvous.score(min(instance, name), max(instance, name))

    return sorted(names, key=score, reverse=True)


class Detector:
    """Tracks the heartbeats expected from other instances.

    Parameters
    ----------
    settings : Settings
        Heartbeat period and suspicion timeout.
    known : Facts
        Records the suspicions.
    send_to : callable
        Sends a message to an instance by name.
    """

    def __init__(
        self, settings: settings_schema.Settings, known: facts.Facts, send_to: SendTo
    ):
        self._instance = settings.instance
        self._settings = settings.membership
        self._facts = known
        self._send_to = send_to
        self._expected_since: dict[str, float] = {}
        # Times of heartbeats actually received. Only these answer a probe: two
        # instances that merely expect heartbeats of a paused third one would confirm it
        # to each other indefinitely.
        self._received_at: dict[str, float] = {}
        self._probes: dict[str, float] = {}
        self._links: dict[str, peers.Link] = {}
        self._taken_change_count = 0
        self._updated_at = NEVER
        # Instances whose probes were restarted after a standstill.
        self._restarted: set[str] = set()

    @property
    def _probe_seconds(self) -> float:
        """Seconds from the first probe of an instance until it is suspected."""
        return PROBE_PERIODS * self._settings.period

    @property
    def watched(self) -> list[str]:
        """Names of the instances whose heartbeats are expected."""
        return sorted(self._expected_since)

    def incoming_links(self) -> list[peers.Link]:
        """Return the links dialled by others on which heartbeats arrive."""
        links = []
        for instance, link in self._links.items():
            if link.dialled or link.is_closing:
                continue
            if self._silence(instance) < self._settings.suspect_after:
                links.append(link)
        return links

    def note_heartbeat(self, link: peers.Link) -> None:
        """Note a heartbeat."""
        self._expected_since[link.instance] = self._received_at[link.instance] = (
            clock.now()
        )
        self._links[link.instance] = link
        self._probes.pop(link.instance, None)

    def expect(self, names: collections.abc.Iterable[str]) -> None:
        """Expect heartbeats from now on of instances that are sent some.

        This covers a member that is known only through others. An instance that was cut
        off right after learning of it would otherwise list it indefinitely.
        """
        now = clock.now()
        for name in names:
            known = self._facts.records.get(name)
            if known is not None and known.suspected_at is None:
                self._expected_since.setdefault(name, now)

    def note_closed_link(self, link: peers.Link) -> None:
        """Note a closed link; its instance is probed at once, without a timeout."""
        self._received_at.pop(link.instance, None)
        if link.instance in self._expected_since:
            self._expected_since[link.instance] = NEVER
        if self._links.get(link.instance) is link:
            del self._links[link.instance]

    def reset(self) -> None:
        """Restart all timeouts, after a pause of this process itself.

        Heartbeats of before the pause answer no probe: their senders may be gone.
        """
        self._expected_since = dict.fromkeys(self._expected_since, clock.now())
        self._received_at.clear()
        self._probes.clear()

    def answer_probe(self, link: peers.Link, probe: messages.Probe) -> None:
        """Answer a probe if the instance's heartbeats are received here."""
        # Stay silent if this instance is about to probe it as well: otherwise instances
        # could confirm old heartbeats to each other and never suspect it.
        silence = clock.now() - self._received_at.get(probe.instance, NEVER)
        if silence < self._settings.suspect_after - self._probe_seconds:
            link.send(messages.Heard(probe.instance))

    def note_answer(self, link: peers.Link, answer: messages.Heard) -> None:
        """Stop expecting heartbeats of an instance that another one receives."""
        if answer.instance in self._probes:
            del self._probes[answer.instance]
            self._expected_since.pop(answer.instance, None)

    def update_suspicions(self) -> None:
        """Probe silent instances; suspect those that no helper has confirmed."""
        now = clock.now()
        self._restart_late_probes(now)
        for name in list(self._expected_since):
            if self._silence(name) < self._settings.suspect_after - self._probe_seconds:
                continue
            if name not in self._probes:
                self._probes[name] = now
                self._send_probes(name)
                continue
            if now - self._probes[name] < self._probe_seconds:
                # Repeat the probe: a helper without a connection from here has not
                # received it, and its silence would count as a failed probe.
                self._send_probes(name)
                continue
            del self._probes[name]
            del self._expected_since[name]
            known = self._facts.records.get(name)
            if known is None or known.suspected_at is not None:
                continue
            logs.event("member_suspected", member=name)
            self._facts.suspect(messages.Suspicion(name, *known.order))

    def take_changes(self) -> bool:
        """Return whether facts have changed since the last call."""
        changed = self._facts.changes != self._taken_change_count
        self._taken_change_count = self._facts.changes
        return changed

    def _restart_late_probes(self, now: float) -> None:
        """Restart the probes, each once, if this process has just stood still.

        Their answers have not been read yet.
        """
        self._restarted.intersection_update(self._probes)
        is_late = now - self._updated_at > self._probe_seconds
        self._updated_at = now
        if not is_late:
            return
        for name in self._probes:
            if name not in self._restarted:
                self._probes[name] = now
                self._restarted.add(name)

    def _silence(self, instance: str) -> float:
        return clock.now() - self._expected_since.get(instance, NEVER)

    def _send_probes(self, name: str) -> None:
        others = []
        for other, record in self._facts.records.items():
            if record.suspected_at is None and other not in (self._instance, name):
                others.append(other)
        for helper in rank(name, others)[:HELPER_COUNT]:
            self._send_to(helper, messages.Probe(name))
