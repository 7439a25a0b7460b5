"""Whom this instance hears; about the silent it asks others before it suspects."""

import collections.abc

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs, rendezvous
from ..links import peers
from . import facts

# A silent instance is asked for at this many others that should hear it, and has
# this many periods until the verdict: one broken connection is no death.
HELPERS = 3
PROBE_PERIODS = 2.0
NEVER = float("-inf")

SendTo = collections.abc.Callable[[str, messages.Message], None]


def rank(instance: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return the names in the order in which ``instance`` sends them heartbeats.

    Both of a pair give each other the same score, so most neighbours are mutual and
    few connections are needed; and anybody can work out who should hear whom.
    """

    def score(name: str) -> int:
        return rendezvous.score(min(instance, name), max(instance, name))

    return sorted(names, key=score, reverse=True)


class FailureDetector:
    """The instances whose heartbeats come here.

    Parameters
    ----------
    settings : Settings
        Periods.
    known : Facts
        Where suspicions go.
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
        self._beats: dict[str, float] = {}
        # The last real heartbeats. Only they answer a probe: two who merely expect some
        # would tell each other "heard" for ever while the third is paused.
        self._heard_at: dict[str, float] = {}
        self._probes: dict[str, float] = {}
        self._links: dict[str, peers.Link] = {}
        self._changes = 0

    @property
    def _patience(self) -> float:
        """Seconds between the first question about an instance and the verdict."""
        return PROBE_PERIODS * self._settings.period

    @property
    def watched(self) -> list[str]:
        """Names of those whose heartbeats are expected here."""
        return sorted(self._beats)

    def callers(self) -> list[peers.Link]:
        """Return the links on which others, who dialled them, send heartbeats."""
        found = []
        for instance, link in self._links.items():
            if link.dialled or link.closing:
                continue
            if self._silence(instance) < self._settings.suspect_after:
                found.append(link)
        return found

    def beat(self, link: peers.Link) -> None:
        """Note a heartbeat."""
        self._beats[link.instance] = self._heard_at[link.instance] = clock.now()
        self._links[link.instance] = link
        self._probes.pop(link.instance, None)

    def expect(self, names: collections.abc.Iterable[str]) -> None:
        """Expect heartbeats of these, which were sent some, from now on.

        One that is known by hearsay and was never heard here would be handed out for
        ever by an instance that is cut off right after it was told of it.
        """
        now = clock.now()
        for name in names:
            known = self._facts.records.get(name)
            if known is not None and known.suspected_at is None:
                self._beats.setdefault(name, now)

    def lost(self, link: peers.Link) -> None:
        """Note a closed link: a killed process is asked for without waiting."""
        self._heard_at.pop(link.instance, None)
        if link.instance in self._beats:
            self._beats[link.instance] = NEVER
        if self._links.get(link.instance) is link:
            del self._links[link.instance]

    def restart(self) -> None:
        """Give everybody a new chance, after a pause of this process itself."""
        now = clock.now()
        for name in self._beats:
            self._beats[name] = self._heard_at[name] = now
        self._probes.clear()

    def probe(self, link: peers.Link, probe: messages.Probe) -> None:
        """Answer whether an instance is heard here."""
        # Whoever would ask about it as well has no word to give: the last one to ask
        # must get the others' silence, else nobody ever comes to a verdict.
        silence = clock.now() - self._heard_at.get(probe.instance, NEVER)
        if silence < self._settings.suspect_after - self._patience:
            link.send(messages.Heard(probe.instance))

    def heard(self, link: peers.Link, answer: messages.Heard) -> None:
        """Leave an instance to those who hear it."""
        if answer.instance in self._probes:
            del self._probes[answer.instance]
            self._beats.pop(answer.instance, None)

    def judge(self) -> None:
        """Ask for those who are silent; suspect those whom nobody hears."""
        now = clock.now()
        for name in list(self._beats):
            if self._silence(name) < self._settings.suspect_after - self._patience:
                continue
            if name not in self._probes:
                self._probes[name] = now
                self._ask(name)
                continue
            if now - self._probes[name] < self._patience:
                # Again: a helper that had no connection from here has not got the
                # question, and its silence would count as "not heard there either".
                self._ask(name)
                continue
            del self._probes[name]
            del self._beats[name]
            known = self._facts.records.get(name)
            if known is None or known.suspected_at is not None:
                continue
            logs.event("member_suspected", member=name)
            self._facts.suspect(messages.Suspicion(name, *known.order))

    def take_changes(self) -> bool:
        """Return whether facts have changed since this was last asked."""
        changed = self._facts.changes != self._changes
        self._changes = self._facts.changes
        return changed

    def _silence(self, instance: str) -> float:
        return clock.now() - self._beats.get(instance, NEVER)

    def _ask(self, name: str) -> None:
        others = []
        for other, record in self._facts.records.items():
            if record.suspected_at is None and other not in (self._instance, name):
                others.append(other)
        for helper in rank(name, others)[:HELPERS]:
            self._send_to(helper, messages.Probe(name))
