"""Records ended requests for operators and reads gauges when metrics are requested."""

import collections.abc
import time
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs
from ..decisions import quarantine
from ..fleet import configuration, members
from ..interface import relay
from ..keepers import keeper
from ..links import peers
from ..owners import owner, recovery
from . import burn, history, metrics, reach, silences, top_counts, unanswered

# Causes of lost answers that metrics tell apart. They are messages of refusals, which
# are constants of the gateway today; a varying one must not grow the page.
MAX_LOST_CAUSES = 16
OTHER_CAUSE = "other"


class Parts(typing.NamedTuple):
    """Components of the daemon whose state operators can read."""

    configured: configuration.Configuration
    membership: members.Membership
    owned: owner.Owner
    kept: keeper.Keeper
    links: peers.Peers
    passing: relay.Relay
    recovering: recovery.Recovery
    held: quarantine.Quarantine


class Finished(typing.NamedTuple):
    """A request that has ended, with any outcome.

    Attributes
    ----------
    service, tier, team, server : str
        Names; empty for the stages that the request did not reach.
    outcome, code : str
        How the request ended.
    seconds, first_seconds, within_seconds : float
        From acceptance to the end, from acceptance to the first event (0 without one),
        and the time that the objective allows.
    prompt_tokens, output_tokens : int
        As counted by the server, or by the caller when the server reports none.
    cause : str
        The refusal's message, if the gateway ended the request.
    was_offered : bool
        Whether it was sent to a server.
    """

    service: str
    tier: str
    team: str
    server: str
    outcome: str
    code: str
    seconds: float
    first_seconds: float
    within_seconds: float
    prompt_tokens: int
    output_tokens: int
    cause: str = ""
    was_offered: bool = True


class Silence(typing.NamedTuple):
    """The longest silence of a server that owed an answer.

    Attributes
    ----------
    service, server : str
        Names.
    seconds : float
        Longest time without a byte while the answer was due.
    outcome : str
        "answered": the server answered after all; "moved": another server took over;
        "broken": it broke the connection; "ended": the request's time ended first;
        "left": the caller disconnected.
    """

    service: str
    server: str
    seconds: float
    outcome: str


class Kept(typing.NamedTuple):
    """A silent server that kept its request because no other could take it.

    Attributes
    ----------
    service : str
        Name of the service.
    cause : str
        Why no other took it: "attempts", "unnumbered" if its last event has no id,
        "budget", "quarantined", "no_permit", "unreachable", "declined", "woke_up" if
        the silent server went on with other requests before the other had begun to
        answer, or "silent" if the other broke or was silent, too.
    """

    service: str
    cause: str


class Reports:
    """Metrics, burn windows and history of one instance.

    Parameters
    ----------
    settings : Settings
        Sizes of the history and of the burn windows.
    parts : Parts
        Components whose state is read for gauges.
    """

    def __init__(self, settings: settings_schema.Settings, parts: Parts):
        report_settings = settings.reports
        self.since = time.time()
        self.metrics = metrics.Metrics()
        self.history = history.History(report_settings.history)
        self.burn = burn.Burn(
            report_settings.burn_scale,
            report_settings.heaviest_teams,
            report_settings.burn_max_cells,
            clock.now(),
        )
        self.read_reach: collections.abc.Callable[[], reach.Reach]
        self.read_reach = reach.nothing
        self._parts = parts
        self._given_up = silences.GivenUpAnswers()
        self._lost_causes: set[str] = set()
        self._teams = top_counts.TopCounts(report_settings.heaviest_teams)
        logs.add_handler(self.history)
        parts.owned.on_ended(self.record_ended_request)
        parts.owned.on_wasted(self.record_wasted_tokens)

    def record_ended_request(self, entry: owner.Entry) -> None:
        """Record an ended request of this owner, once its outcome is final."""
        accepted = entry.accepted
        final = entry.answer.final
        if final is None:
            return
        first_seconds = 0.0
        if entry.answer.first_at:
            first_seconds = entry.answer.first_at - entry.accepted_at
        finished = Finished(
            accepted.service,
            accepted.tier,
            accepted.team,
            entry.server,
            final["outcome"],
            final["code"],
            entry.ended_at - entry.accepted_at,
            first_seconds,
            _within_seconds(entry),
            entry.figures.prompt_tokens,
            entry.figures.output_tokens,
        )
        self._count_metrics(finished)
        self._count_burn(finished, finished.seconds)
        if finished.outcome == "completed":
            cached = entry.figures.cached_tokens
            self.metrics.count(metrics.CACHED_TOKENS, (accepted.service,), cached)
            return
        self.history.add_refusal(
            accepted.team,
            id=accepted.id.text,
            service=accepted.service,
            tier=accepted.tier,
            outcome=finished.outcome,
            code=finished.code,
            message=final["message"],
            server=entry.server,
        )

    def record_gateway_request(self, finished: Finished) -> None:
        """Record an ended request of the gateway."""
        self._count_metrics(finished)
        # Gateway objectives apply to the first event; answers that are not streamed
        # have only an end.
        self._count_burn(finished, finished.first_seconds or finished.seconds)
        if finished.code == silences.LOST_CODE:
            cause = self._lost_cause(finished.cause)
            self.metrics.count(metrics.LOST_ANSWERS, (finished.service, cause))
        if unanswered.is_late_refusal(
            finished.was_offered, finished.seconds, finished.within_seconds
        ):
            self.metrics.count(metrics.LATE_REFUSALS, (finished.service, finished.code))
        self._given_up.record_end(
            finished.service, finished.server, finished.outcome, finished.code
        )

    def record_silence(self, silence: Silence) -> None:
        """Record the silence of a server that owed an answer."""
        key = (silence.service, silence.outcome)
        self.metrics.observe(metrics.SILENCES, key, silence.seconds)
        self._given_up.record_silence(silence.service, silence.server, silence.outcome)

    def record_kept(self, kept: Kept) -> None:
        """Record why a silent server kept its request."""
        self.metrics.count(metrics.KEPT_SERVERS, (kept.service, kept.cause))

    def record_unanswered(self, found: unanswered.Unanswered) -> None:
        """Record a whole request that got no complete answer."""
        dispatched = "yes" if found.was_dispatched else "no"
        self.metrics.count(metrics.UNANSWERED, (found.cause, dispatched))

    def _lost_cause(self, message: str) -> str:
        """Return the label for a refusal's message; only a few are kept distinct."""
        if message and len(self._lost_causes) < MAX_LOST_CAUSES:
            self._lost_causes.add(message)
        return message if message in self._lost_causes else OTHER_CAUSE

    def _count_metrics(self, finished: Finished) -> None:
        """Add an ended request to the metrics."""
        key = (finished.service, finished.tier)
        count = self.metrics.count
        count(metrics.REQUESTS, (*key, finished.outcome, finished.code))
        self._teams.add(finished.team)
        team = self._teams.label(finished.team)
        count(metrics.TEAM_REQUESTS, (team, finished.outcome))
        if finished.first_seconds:
            self.metrics.observe(metrics.FIRST_EVENT, key, finished.first_seconds)
        if finished.outcome == "completed":
            self.metrics.observe(metrics.REQUEST_DURATION, key, finished.seconds)
            service = (finished.service,)
            count(metrics.PROMPT_TOKENS, service, finished.prompt_tokens)
            count(metrics.OUTPUT_TOKENS, service, finished.output_tokens)

    def _count_burn(self, finished: Finished, seconds: float) -> None:
        """Add an ended request to the burn of its objective."""
        self.burn.add(
            clock.now(),
            burn.Ended(
                finished.service,
                finished.tier,
                finished.team,
                finished.server,
                finished.outcome,
                finished.code,
                seconds,
                finished.within_seconds,
            ),
        )

    def record_wasted_tokens(self, prompt_tokens: int) -> None:
        """Count prompt tokens that an engine processed for a request then stopped."""
        self.metrics.count(metrics.WASTED_TOKENS, (), prompt_tokens)

    def record_refusal(
        self, refusal: exceptions.Refusal, request_id: str, team: str
    ) -> None:
        """Record the refusal of a call for which the owner holds no entry."""
        self.metrics.count(metrics.REFUSALS, (refusal.code,))
        self.history.add_refusal(
            team,
            id=request_id,
            outcome=refusal.outcome,
            code=refusal.code,
            message=refusal.message,
        )

    def record_lag(self, lag_seconds: float) -> None:
        """Record by how much the event loop was late."""
        self.metrics.observe(metrics.LAG, (), lag_seconds)

    def page(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Update all gauges and return the metrics page and its headers."""
        self._read_owner()
        self._read_keeper()
        self._read_members()
        self._read_peers()
        reach.record(self.metrics, self.read_reach())
        return self.metrics.render(accept)

    def _read_owner(self) -> None:
        states: dict[metrics.Key, float] = {("waiting",): 0, ("dispatched",): 0}
        table = self._parts.owned.table
        for entry in table.values():
            if not entry.ended:
                states[(entry.state.value,)] += 1
        self.metrics.replace(metrics.OPEN, states)
        self.metrics.replace(metrics.TABLE, {(): len(table)})

    def _read_keeper(self) -> None:
        queued: dict[metrics.Key, float] = {}
        running: dict[metrics.Key, float] = {}
        tokens: dict[metrics.Key, float] = {}
        shed: dict[metrics.Key, float] = {}
        for name, shard in self._parts.kept.shards.items():
            running[(name,)] = len(shard.running)
            for is_above, count in shard.shares.shed_counts.items():
                shed[(name, "above" if is_above else "below")] = count
            for waiting in shard.queue.values():
                key = (name, self._tier_name(waiting.demand))
                queued[key] = queued.get(key, 0) + 1
            for server in shard.servers:
                tokens.setdefault((server,), 0)
            for item in shard.running.values():
                tokens[(item.server,)] = tokens.get((item.server,), 0) + item.tokens
        self._read_limits()
        hand_overs: dict[metrics.Key, float] = {}
        for cause, count in self._parts.kept.hand_overs.counts.items():
            hand_overs[(cause,)] = count
        self.metrics.replace(metrics.HAND_OVERS, hand_overs)
        held = self._parts.held
        self.metrics.replace(metrics.QUARANTINED, {(): held.count})
        self.metrics.replace(metrics.QUARANTINED_PARTS, {(): held.part_count})
        self.metrics.replace(metrics.SHED, shed)
        self.metrics.replace(metrics.QUEUE, queued)
        self.metrics.replace(metrics.PERMITS, running)
        self.metrics.replace(metrics.SERVER_TOKENS, tokens)

    def _read_limits(self) -> None:
        kept = self._parts.kept
        cold_grants: dict[metrics.Key, float] = {}
        limited_grants: dict[metrics.Key, float] = {}
        for name, shard in kept.shards.items():
            counts = shard.rate_budgets.granted_counts
            cold_grants[(name,)] = counts[shard.cold.name]
            limited_grants[(name,)] = counts[shard.states.limits.name]
        self.metrics.replace(metrics.COLD_GRANTS, cold_grants)
        self.metrics.replace(metrics.COLD_SERVERS, {(): len(kept.cold.cold_servers())})
        self.metrics.replace(metrics.LIMITED_GRANTS, limited_grants)
        limited_count = len(kept.states.limits.holding_servers())
        self.metrics.replace(metrics.LIMITED_SERVERS, {(): limited_count})
        brittle_count = len(kept.states.brittle.holding_servers())
        self.metrics.replace(metrics.BRITTLE_SERVERS, {(): brittle_count})
        leaving_count = len(kept.states.departures.leaving_servers())
        self.metrics.replace(metrics.LEAVING_SERVERS, {(): leaving_count})
        backoff_count = len(kept.states.backoffs.servers())
        self.metrics.replace(metrics.BACKOFF_SERVERS, {(): backoff_count})
        snapshot = self._parts.configured.current
        evacuated = len(snapshot.fleet.evacuated) if snapshot is not None else 0
        self.metrics.replace(metrics.EVACUATED, {(): evacuated})

    def _tier_name(self, demand: messages.Demand) -> str:
        snapshot = self._parts.configured.current
        if snapshot is not None:
            for name, tier in snapshot.fleet.tiers.items():
                if tier.rank == demand.rank:
                    return name
        return f"rank {demand.rank}"

    def _read_members(self) -> None:
        configured = self._parts.configured
        alive = self._parts.membership.alive()
        serving = len(self._parts.membership.serving())
        states: dict[metrics.Key, float] = {}
        states[("serving",)] = serving
        states[("leaving",)] = len(alive) - serving
        self.metrics.replace(metrics.MEMBERS, states)
        slow_count = self._parts.membership.instance_load.slow_count
        self.metrics.replace(metrics.SLOW_PERIODS, {(): slow_count})
        self.metrics.replace(metrics.REVISION, {(): configured.revision})
        epoch = configured.newest_version.epoch
        self.metrics.replace(metrics.PLATFORM_RETURNS, {(): epoch})
        self.metrics.replace(metrics.REJECTED, {(): len(configured.rejected)})

    def _read_peers(self) -> None:
        links = self._parts.links
        sent, received = links.closed_sent_bytes, links.closed_received_bytes
        for link in links.open_links():
            sent += link.sent_bytes
            received += link.received_bytes
        recovering = self._parts.recovering
        recoveries: dict[metrics.Key, float] = {}
        recoveries[("found",)] = recovering.recovered
        recoveries[("missing",)] = recovering.not_found
        replace = self.metrics.replace
        replace(metrics.PEER_SENT, {(): sent})
        replace(metrics.PEER_RECEIVED, {(): received})
        replace(metrics.RELAYED, {(): self._parts.passing.passed})
        replace(metrics.RECOVERIES, recoveries)
        alarms = self.history.alarms
        replace(metrics.ALARMS, {(name,): n for name, n in alarms.items()})


def _within_seconds(entry: owner.Entry) -> float:
    for objective in entry.accepted.service_settings.objectives:
        if objective.tier == entry.accepted.tier:
            return objective.within_ms / 1000.0
    return 0.0
