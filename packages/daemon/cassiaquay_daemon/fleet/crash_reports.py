"""Exchanges reports of requests that crash servers between instances.

Load pattern: a crash ends all requests of a server, dozens within milliseconds, and
each instance passes each report on. The reports of one iteration of the event loop are
sent together.
"""

import asyncio
import collections.abc

from cassiaquay_schema import messages

from .. import logs
from ..decisions import quarantine
from ..links import peers
from . import members, replication

Flush = collections.abc.Callable[[], None]


def _flush_soon(flush: Flush) -> None:
    # The requests of a crashed server all end in the same iteration. A longer delay
    # would let callers repeat a crashing request before others know of it.
    asyncio.get_running_loop().call_soon(flush)


class CrashReports:
    """Keeps the quarantine tables of all instances in sync.

    Parameters
    ----------
    held : Quarantine
        The table of this instance.
    links : Peers
        Connections to the other instances.
    membership : Membership
        Supplies the neighbours and their heartbeats.
    is_first_start : bool
        Whether the whole fleet starts for the first time.
    schedule : callable, optional
        Calls its argument in the next iteration of the event loop.
    """

    digest_field = "crashes_digest"

    def __init__(
        self,
        held: quarantine.Quarantine,
        links: peers.Peers,
        membership: members.Membership,
        is_first_start: bool,
        schedule: collections.abc.Callable[[Flush], None] = _flush_soon,
    ):
        # Changed reports that are about to be sent, with the instances they came from.
        self._unsent: dict[str, str] = {}
        self._schedule = schedule
        self._quarantine = held
        self._replication = replication.Replication(links, membership, self)
        links.on(messages.CrashReports, self._handle_reports)
        if not is_first_start:
            held.is_history_lost = lambda: not membership.has_older_instances()

    @property
    def digest(self) -> int:
        """Digest of the reports; 0 when there are none."""
        return self._quarantine.digest

    def snapshot(self) -> messages.CrashReports | None:
        """Return a message with all reports; None when there are none."""
        reports = self._quarantine.reports()
        return _message(reports) if reports else None

    def holds(self, content: str) -> bool:
        """Return whether a request is quarantined; note the refusal if it is."""
        if not self._quarantine.holds(content):
            return False
        self._quarantine.record_refusal(content)
        return True

    def crashed(self, content: str, server: str) -> None:
        """Report a server that crashed while it ran a request of this instance."""
        logs.event("request_suspected", content=content, server=server)
        was_held = self._quarantine.holds(content)
        if self._quarantine.crashed(content, server):
            self._log(content, was_held)
            self._flood([content], "")

    def completed(self, content: str) -> None:
        """Report that a server completed a request of this instance."""
        was_held = self._quarantine.holds(content)
        if self._quarantine.completed(content):
            self._log(content, was_held)
            self._flood([content], "")

    def _handle_reports(self, link: peers.Link, message: messages.CrashReports) -> None:
        changed = []
        for report in message.reports:
            received = quarantine.Report(
                report.content,
                frozenset(report.servers),
                report.cleared,
                report.age_ms / 1000.0,
            )
            was_held = self._quarantine.holds(report.content)
            if self._quarantine.learn(received):
                self._log(report.content, was_held)
                changed.append(report.content)
        if changed:
            self._flood(changed, link.instance)

    def _log(self, content: str, was_held: bool) -> None:
        is_held = self._quarantine.holds(content)
        if is_held == was_held:
            return
        crashes = len(self._quarantine.report(content).servers)
        if is_held:
            logs.trouble("request_quarantined", content=content, crashes=crashes)
        else:
            logs.event("request_released", content=content, crashes=crashes)

    def _flood(self, contents: list[str], sender: str) -> None:
        is_scheduled = bool(self._unsent)
        for content in contents:
            # What came from two instances is news to both.
            known_sender = self._unsent.get(content, sender)
            self._unsent[content] = sender if known_sender == sender else ""
        if not is_scheduled:
            self._schedule(self._send)

    def _send(self) -> None:
        unsent, self._unsent = self._unsent, {}
        reports = [self._quarantine.report(content) for content in unsent]
        senders = set(unsent.values())
        # One that has sent only some of the reports must get the others.
        sender = senders.pop() if len(senders) == 1 else ""
        self._replication.flood(_message(reports), sender)


def _message(
    reports: collections.abc.Iterable[quarantine.Report],
) -> messages.CrashReports:
    encoded = []
    for report in reports:
        encoded.append(
            messages.CrashReport(
                report.content,
                sorted(report.servers),
                report.is_cleared,
                int(report.age * 1000.0),
            )
        )
    return messages.CrashReports(encoded)
