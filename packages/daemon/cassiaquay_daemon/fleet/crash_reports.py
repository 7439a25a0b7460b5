"""The exchange of crash reports between instances.

News is flooded to all neighbours at once and reaches every instance within a few round
trips. Heartbeats carry a digest of the table, so that an instance which was away, or
lost a message with its connection, is sent the table.
"""

import collections.abc
import weakref

from cassiaquay_schema import messages

from .. import clock, logs
from ..decisions import quarantine
from ..links import peers
from . import members

# Tables differ for a moment whenever one instance forgets sooner than another: they are
# not sent with each heartbeat.
RESEND_SECONDS = 1.0
NEVER = float("-inf")


class CrashReports:
    """Keeps the quarantine of all instances alike.

    Parameters
    ----------
    held : Quarantine
        The table of this instance.
    links : Peers
        Connections to the others.
    membership : Membership
        Who they are.
    is_first_start : bool
        Whether the whole fleet starts for the first time.
    """

    def __init__(
        self,
        held: quarantine.Quarantine,
        links: peers.Peers,
        membership: members.Membership,
        is_first_start: bool,
    ):
        self._quarantine = held
        self._links = links
        self._membership = membership
        self._sent_at: weakref.WeakKeyDictionary[peers.Link, float]
        self._sent_at = weakref.WeakKeyDictionary()
        links.on(messages.CrashReports, self._received)
        membership.on_heartbeat(self._heard)
        membership.crashes_digest = lambda: held.digest
        if not is_first_start:
            held.has_forgotten = lambda: not membership.has_older_instances()

    def holds(self, content: str) -> bool:
        """Return whether a request must be refused; its caller has just sent it."""
        if not self._quarantine.holds(content):
            return False
        self._quarantine.turned_away(content)
        return True

    def crashed(self, content: str, server: str) -> None:
        """Report a server that crashed while it ran a request of this instance."""
        logs.event("request_suspected", content=content, server=server)
        was_held = self._quarantine.holds(content)
        if self._quarantine.crashed(content, server):
            self._log(content, was_held)
            self._spread([content], "")

    def completed(self, content: str) -> None:
        """Report that a server completed a request of this instance."""
        was_held = self._quarantine.holds(content)
        if self._quarantine.completed(content):
            self._log(content, was_held)
            self._spread([content], "")

    def _received(self, link: peers.Link, found: messages.CrashReports) -> None:
        news = []
        for report in found.reports:
            learned = quarantine.Report(
                report.content,
                frozenset(report.servers),
                report.cleared,
                report.age_ms / 1000.0,
            )
            was_held = self._quarantine.holds(report.content)
            if self._quarantine.learn(learned):
                self._log(report.content, was_held)
                news.append(report.content)
        if news:
            self._spread(news, link.instance)

    def _log(self, content: str, was_held: bool) -> None:
        is_held = self._quarantine.holds(content)
        if is_held == was_held:
            return
        crashes = len(self._quarantine.report(content).servers)
        if is_held:
            logs.trouble("request_quarantined", content=content, crashes=crashes)
        else:
            logs.event("request_released", content=content, crashes=crashes)

    def _heard(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        if beat.crashes_digest == self._quarantine.digest:
            return
        now = clock.now()
        if now - self._sent_at.get(link, NEVER) < RESEND_SECONDS:
            return
        self._sent_at[link] = now
        reports = self._quarantine.reports()
        if reports:
            link.send(_message(reports))

    def _spread(self, contents: list[str], sender: str) -> None:
        message = _message([self._quarantine.report(one) for one in contents])
        for instance, address in self._membership.neighbours().items():
            if instance == sender:
                continue
            link = self._links.link(instance, address)
            if link is not None:
                link.send(message)


def _message(
    reports: collections.abc.Iterable[quarantine.Report],
) -> messages.CrashReports:
    found = []
    for report in reports:
        found.append(
            messages.CrashReport(
                report.content,
                sorted(report.servers),
                report.is_cleared,
                int(report.age * 1000.0),
            )
        )
    return messages.CrashReports(found)
