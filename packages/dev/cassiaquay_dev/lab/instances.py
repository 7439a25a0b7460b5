"""A simulated daemon: the real admission roles on top of a simulated network."""

import asyncio
import collections.abc
import typing

from cassiaquay_daemon import pause, rendezvous
from cassiaquay_daemon.configured import routing, snapshots
from cassiaquay_daemon.decisions import (
    objectives,
    return_visits,
    returns,
    server_states,
)
from cassiaquay_daemon.fleet import server_reports
from cassiaquay_daemon.gateway import admission, calls
from cassiaquay_daemon.keepers import demands, keeper
from cassiaquay_daemon.platform import headers
from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from . import days, simulated_network, traffic

POOL = "engines"
MODEL = "model"
HOST = "lab"
# Setting `keeper.returns` of all instances.
RETURNS: typing.Literal["share", "recognized"] = "recognized"
# As in deploy/settings.toml.template.
TEAM_SHARES: typing.Literal["shard", "pool"] = "pool"


class StaticConfiguration:
    """A configuration that never changes."""

    def __init__(self, current: snapshots.Snapshot):
        self.current = current

    def on_accept(self, call: collections.abc.Callable[[], None]) -> None:
        """Do nothing, since no other configuration is ever accepted."""


class Instance:
    """One simulated daemon.

    Parameters
    ----------
    name : str
        Name of the instance.
    network : Network
        Network that connects all instances.
    configured : Configured
        Configuration in force.
    policy : str
        Registered name of the policy that serves its shards.
    """

    def __init__(
        self,
        name: str,
        network: simulated_network.Network,
        configured: StaticConfiguration,
        policy: str = objectives.NAME,
    ):
        settings = settings_schema.Settings(
            instance=name,
            domain=network.zones[name],
            keys=["lab"],
            platform=settings_schema.Platform(configuration="", instances=""),
            keeper=settings_schema.Keeper(
                policy=policy, returns=RETURNS, team_shares=TEAM_SHARES
            ),
        )
        # The stand-ins implement only the methods that the roles use; the casts bypass
        # the type check against the daemon's own classes.
        members = typing.cast(typing.Any, simulated_network.Members(network, name))
        links = typing.cast(typing.Any, network.links[name])
        known = typing.cast(typing.Any, configured)
        self.pauses = pause.Pauses(pause.shortest_lease(settings))
        self.server_states = server_states.ServerStates(settings)
        self.server_reports = server_reports.ServerReports(
            self.server_states, links, members
        )
        self.keeper = keeper.Keeper(
            settings, links, members, known, self.pauses, self.server_states
        )
        self.demands = demands.Demands(
            settings, links, members, self.keeper, self.server_reports
        )
        self.admission = admission.Admission(
            self.demands, members, self.keeper.rate_limits, self.server_reports
        )
        self.visits = return_visits.ReturnVisits()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the periodic tasks of its roles."""
        jobs = (
            self.pauses.check_periodically(),
            self.keeper.tick(),
            self.demands.renew(),
            self.demands.report(),
        )
        for job in jobs:
            self._tasks.append(asyncio.get_running_loop().create_task(job))


def snapshot(day: days.Day) -> snapshots.Snapshot:
    """Return a configuration snapshot with the pool, teams and tiers of a day."""
    ranks = sorted({kind.rank for kind in day.kinds.values()})
    lines = []
    for rank in ranks:
        lines += [f"[tiers.rank-{rank}]", f"rank = {rank}"]
    for number in range(day.teams):
        credential = f"{number:064x}"
        lines += [f"[teams.team-{number}]", f'credentials = ["{credential}"]']
        lines.append(f'tiers = ["rank-{ranks[0]}"]')
    lines += [f"[models.{MODEL}]", f"[pools.{POOL}]"]
    for number in range(day.engines.count):
        lines += [f"[[pools.{POOL}.servers]]", f'name = "{engine_name(number)}"']
        lines += [f'address = "h:{number + 1}"', f'model = "{MODEL}"']
        lines.append(f"slots = {day.engines.slots}")
    lines += ["[services.generate]", f'pool = "{POOL}"', f'model = "{MODEL}"']
    found = snapshots.read(1, "\n".join(lines))
    bounds = routing.Bounds(1, 1, 1.0, 1.0)
    events = {POOL: day.engines.event_tokens}
    routes = routing.Routing(1, {}, {}, {}, False, events, bounds)
    return found._replace(routes=routes)


def engine_name(number: int) -> str:
    """Return the name of an engine."""
    return f"engine-{number:03}"


def call(
    day: days.Day,
    request: traffic.Request,
    attempt: str,
    started_at: float,
    deadline: float,
    current: snapshots.Snapshot,
    visits: return_visits.ReturnVisits,
) -> calls.Call:
    """Return a caller's attempt in the form that the gateway passes to admission."""
    kind = day.kinds[request.kind]
    tokens = day.engines.event_tokens
    part = messages.PromptPart(
        rendezvous.score(request.name, "prompt"), request.prompt_tokens
    )
    parsed = headers.ParsedHeaders(
        HOST,
        attempt,
        round((deadline - started_at) * 1000.0),
        "",
        request.prompt_tokens,
        request.hinted_events * tokens,
        request.hinted_events * tokens,
        [part],
        -1,
    )
    route = _route(request.kind, kind)
    team = routing.Team(request.team, None, None)
    age_seconds = 0.0
    if RETURNS == returns.RECOGNIZED:
        age_seconds = visits.age_seconds(route.name, parsed.deadline_ms)
    return calls.Call(
        "POST",
        "/",
        [],
        parsed,
        b"",
        route,
        POOL,
        team,
        current,
        started_at,
        deadline,
        age_seconds=age_seconds,
    )


def _route(name: str, kind: days.Kind) -> routing.Route:
    return routing.Route(
        name,
        HOST,
        "/",
        routing.Kind.STREAM,
        (routing.Share(POOL, 1.0),),
        kind.deadline_ms / 1000.0,
        kind.objective_ms / 1000.0,
        kind.pause_ms / 1000.0,
        kind.rank,
        kind.attempts,
        True,
        kind.attempts > 1,
    )
