"""Exchanges reports of requests and prompt parts that crash servers.

Load pattern: a crash ends all requests of a server, dozens within milliseconds, and
each instance passes each report on. The reports of one iteration of the event loop are
sent together.
"""

import asyncio
import collections
import collections.abc
import functools

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs, rendezvous
from ..decisions import quarantine
from ..links import peers
from . import members, replication, server_breaks

Flush = collections.abc.Callable[[], None]
MAX_ENDED_SERVERS = 1024
# Older reports come with tables that are compared; they say nothing about this moment.
MAX_FRESH_SECONDS = 1.0


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
    settings : Settings
        Name of this instance, and whether the whole fleet starts for the first time.
    schedule : callable, optional
        Calls its argument in the next iteration of the event loop.

    Attributes
    ----------
    breaks : ServerBreaks
        When servers broke answers off, even if no request is suspected.
    """

    digest_field = "crashes_digest"

    def __init__(
        self,
        held: quarantine.Quarantine,
        links: peers.Peers,
        membership: members.Membership,
        settings: settings_schema.Settings,
        schedule: collections.abc.Callable[[Flush], None] = _flush_soon,
    ):
        # Changed reports that are about to be sent, with the instances they came from.
        self._unsent: dict[str, str] = {}
        self._unsent_breaks: dict[messages.ServerBreak, str] = {}
        self._schedule = schedule
        self._quarantine = held
        self._instance = settings.instance
        self._membership = membership
        # Servers, by their starts, with the time of the last report of their crash.
        self._ended_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._replication = replication.Replication(links, membership, self)
        self.breaks = server_breaks.ServerBreaks()
        links.on(messages.CrashReports, self._handle_reports)
        # Whether nothing was recorded before this start, or an older instance was heard
        # since: its table comes with the next heartbeats.
        self._has_history = settings.gateway.first_start
        held.is_history_lost = self._is_history_lost
        membership.on_heartbeat(self._note_older)

    @property
    def digest(self) -> int:
        """Digest of the reports; 0 when there are none."""
        return self._quarantine.digest

    def snapshot(self) -> messages.CrashReports | None:
        """Return a message with all reports; None when there are none."""
        reports = self._quarantine.reports()
        return _message(reports) if reports else None

    def holds(
        self,
        content: str,
        parts: collections.abc.Sequence[str] = (),
        is_sent_now: bool = False,
    ) -> bool:
        """Return whether a request is quarantined; note the refusal if it is.

        ``parts`` are digests of the parts of its prompt. ``is_sent_now`` means that the
        request is about to be sent, which may be the trial of a quarantined part.
        """
        blocking = self._quarantine.blocking(content, parts)
        if not blocking:
            return False
        if len(blocking) == 1 and self._may_try(blocking[0]):
            if is_sent_now:
                logs.event("prompt_part_tried", part=blocking[0], content=content)
                self._quarantine.record_trial(blocking[0])
            return False
        for key in blocking:
            self._quarantine.record_refusal(key)
        return True

    def blocking(self, content: str, parts: collections.abc.Sequence[str]) -> list[str]:
        """Return the digests that a request is quarantined for."""
        return self._quarantine.blocking(content, parts)

    def has_ended(self, server: str, since: float) -> bool:
        """Return whether a server's crash was reported since then.

        ``server`` is identified by its start, ``since`` is in seconds on this clock.
        """
        return self._ended_at.get(server, float("-inf")) >= since

    def crashed(
        self, content: str, server: str, parts: collections.abc.Iterable[str] = ()
    ) -> None:
        """Report a server that crashed while it ran a request of this instance."""
        logs.event("request_suspected", content=content, server=server)
        self._record_ended(server)
        broken = self.breaks.note(server.rpartition("/")[0])
        if broken is not None:
            self._flood_break(broken, "")
        changed = []
        if self._change(content, lambda: self._quarantine.crashed(content, server)):
            changed.append(content)
        for part in parts:
            crashed = functools.partial(self._quarantine.crashed, part, server, content)
            if self._change(part, crashed):
                changed.append(part)
        if changed:
            self._flood(changed, "")

    def completed(
        self, content: str, parts: collections.abc.Iterable[str] = ()
    ) -> None:
        """Report that a server completed a request of this instance."""
        changed = []
        for key in (content, *parts):
            if self._change(key, functools.partial(self._quarantine.completed, key)):
                changed.append(key)
        if changed:
            self._flood(changed, "")

    def _is_history_lost(self) -> bool:
        return not self._has_history

    def _note_older(self, link: peers.Link, beat: messages.Heartbeat) -> None:
        # Older instances may leave or be cut off later; what they knew stays here.
        if not self._has_history:
            self._has_history = self._membership.has_older_instances()

    def _may_try(self, key: str) -> bool:
        if not self._quarantine.is_trial_due(key):
            return False
        # One instance tries a part, since each trial may crash a server.
        names = {member.instance for member in self._membership.serving()}
        return rendezvous.first(key, names | {self._instance}) == self._instance

    def _record_ended(self, server: str) -> None:
        self._ended_at[server] = clock.now()
        self._ended_at.move_to_end(server)
        if len(self._ended_at) > MAX_ENDED_SERVERS:
            self._ended_at.popitem(last=False)

    def _change(self, key: str, change: collections.abc.Callable[[], bool]) -> bool:
        """Apply a change of one report; log whether it begins or ends a hold."""
        was_held = self._quarantine.holds(key)
        if not change():
            return False
        self._log(key, was_held)
        return True

    def _handle_reports(self, link: peers.Link, message: messages.CrashReports) -> None:
        for broken in message.breaks:
            if self.breaks.learn(broken):
                self._flood_break(broken, link.instance)
        changed = []
        for report in message.reports:
            received = quarantine.Report(
                report.content,
                frozenset(report.servers),
                report.cleared,
                report.age_ms / 1000.0,
                frozenset(report.requests),
                report.crash_age_ms / 1000.0,
            )
            if received.crash_age < MAX_FRESH_SECONDS:
                for server in report.servers:
                    self._record_ended(server)
            learn = functools.partial(self._quarantine.learn, received)
            if self._change(report.content, learn):
                changed.append(report.content)
        if changed:
            self._flood(changed, link.instance)

    def _log(self, content: str, was_held: bool) -> None:
        is_held = self._quarantine.holds(content)
        if is_held == was_held:
            return
        report = self._quarantine.report(content)
        crashes = len(report.servers)
        if report.requests and is_held:
            logs.trouble(
                "prompt_part_quarantined",
                part=content,
                crashes=crashes,
                servers=",".join(sorted(report.servers)),
                requests=",".join(sorted(report.requests)),
            )
        elif report.requests:
            logs.event("prompt_part_released", part=content, crashes=crashes)
        elif is_held:
            logs.trouble("request_quarantined", content=content, crashes=crashes)
        else:
            logs.event("request_released", content=content, crashes=crashes)

    def _flood_break(self, broken: messages.ServerBreak, sender: str) -> None:
        is_scheduled = bool(self._unsent or self._unsent_breaks)
        self._unsent_breaks[broken] = sender
        if not is_scheduled:
            self._schedule(self._send)

    def _flood(self, contents: list[str], sender: str) -> None:
        is_scheduled = bool(self._unsent or self._unsent_breaks)
        for content in contents:
            # What came from two instances is news to both.
            known_sender = self._unsent.get(content, sender)
            self._unsent[content] = sender if known_sender == sender else ""
        if not is_scheduled:
            self._schedule(self._send)

    def _send(self) -> None:
        unsent, self._unsent = self._unsent, {}
        breaks, self._unsent_breaks = self._unsent_breaks, {}
        reports = []
        for content in unsent:
            report = self._quarantine.report(content)
            # The quarantine may have dropped it since, to stay within its bound.
            if report.servers:
                reports.append(report)
        senders = {*unsent.values(), *breaks.values()}
        # One that has sent only some of the reports must get the others.
        sender = senders.pop() if len(senders) == 1 else ""
        self._replication.flood(_message(reports, list(breaks)), sender)


def _message(
    reports: collections.abc.Iterable[quarantine.Report],
    breaks: collections.abc.Sequence[messages.ServerBreak] = (),
) -> messages.CrashReports:
    encoded = []
    for report in reports:
        encoded.append(
            messages.CrashReport(
                report.content,
                sorted(report.servers),
                report.is_cleared,
                int(report.age * 1000.0),
                sorted(report.requests),
                int(report.crash_age * 1000.0),
            )
        )
    return messages.CrashReports(encoded, list(breaks))
