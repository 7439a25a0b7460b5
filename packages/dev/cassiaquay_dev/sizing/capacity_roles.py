"""Computes the cost of each role for one daemon from the measured slopes.

A slope is the cost per unit of load, such as seconds of processor time per request.
"""

import collections.abc
import typing

from cassiaquay_schema import registry
from cassiaquay_schema import settings as settings_schema

from . import slopes

Slopes = dict[str, slopes.Slope]
DAY_SECONDS = 86400.0
OWNER = settings_schema.Owner()
KEEPER = settings_schema.Keeper()
MEMBERSHIP = settings_schema.Membership()
REPORTS = settings_schema.Reports()
SHARD_SERVERS = 16
# Rendezvous hashing spreads 48 shards over 380 daemons; the busiest daemon keeps two
# or three.
BUSIEST_SHARDS = 2
BURN_BUCKETS = 60 + 72


class Size(typing.NamedTuple):
    """Target size of the fleet, and the limits for control roles on one daemon."""

    daemons: int = 380
    engines: int = 740
    accelerators: int = 6000
    requests_per_second: float = 4400.0
    tokens_per_second: float = 900_000.0
    first_token_seconds: float = 1.6
    token_seconds: float = 0.076
    teams: int = 23_000
    models: int = 8
    regions: int = 2
    domains: int = 7
    changes_per_day: float = 2000.0
    force_seconds: float = 4.0
    core_share: float = 0.026
    memory_bytes: float = 128e6
    wire_bytes_per_second: float = 9000.0
    platform_value_bytes: float = 1e6
    platform_calls_per_second: float = 2000.0
    failures_per_day: int = 11
    restarts_per_day: int = 210

    @property
    def tokens_per_request(self) -> float:
        """Mean length of an answer in tokens."""
        return self.tokens_per_second / self.requests_per_second

    @property
    def seconds_per_request(self) -> float:
        """Mean duration of a request in seconds."""
        return self.first_token_seconds + self.tokens_per_request * self.token_seconds

    @property
    def open_requests(self) -> float:
        """Mean number of concurrently open requests over all daemons."""
        return self.requests_per_second * self.seconds_per_request

    @property
    def shards(self) -> int:
        """Number of shards over all pools."""
        engines_per_model = -(-self.engines // self.models)
        return self.models * -(-engines_per_model // SHARD_SERVERS)


class Cost(typing.NamedTuple):
    """Cost of a role for one daemon.

    None means that a slope has not been measured, 0 that the role uses none of the
    resource.

    Attributes
    ----------
    core : float or None
        Fraction of a core.
    memory : float or None
        Memory in bytes.
    wire : float or None
        Bytes per second between instances.
    """

    core: float | None = 0.0
    memory: float | None = 0.0
    wire: float | None = 0.0


class Role(typing.NamedTuple):
    """A role of the daemon: its state, messages, mechanism and cost function."""

    name: str
    is_control: bool
    state: str
    messages: str
    mechanism: str
    cost: collections.abc.Callable[[Size, Slopes], Cost]


roles: registry.Registry[Role] = registry.Registry("role")


def weighted_sum(measured: Slopes, *parts: tuple[str, float]) -> float | None:
    """Return the sum of slope times factor, or None if any slope is not measured."""
    total = 0.0
    for name, factor in parts:
        if name not in measured:
            return None
        total += measured[name].value * factor
    return total


def _base(size: Size, measured: Slopes) -> Cost:
    return Cost(memory=weighted_sum(measured, ("base_bytes", 1.0)))


def _owner(size: Size, measured: Slopes) -> Cost:
    requests = size.requests_per_second / size.daemons
    events = size.tokens_per_second / size.daemons
    kept = size.seconds_per_request + OWNER.token_seconds + OWNER.answer_seconds
    open_events = size.open_requests / size.daemons * size.tokens_per_request / 2
    return Cost(
        core=weighted_sum(
            measured,
            ("owner_seconds_per_request", requests),
            ("owner_seconds_per_event", events),
        ),
        memory=weighted_sum(
            measured,
            ("owner_bytes_per_entry", requests * kept),
            ("owner_bytes_per_event", open_events),
        ),
    )


def _keeper(size: Size, measured: Slopes) -> Cost:
    demands = size.requests_per_second / size.shards * BUSIEST_SHARDS
    held = size.open_requests / size.shards * BUSIEST_SHARDS
    return Cost(
        core=weighted_sum(measured, ("keeper_seconds_per_demand", demands)),
        memory=weighted_sum(measured, ("keeper_bytes_per_demand", held)),
        wire=weighted_sum(measured, ("keeper_wire_bytes_per_demand", demands)),
    )


def _demands(size: Size, measured: Slopes) -> Cost:
    own = size.requests_per_second / size.daemons
    return Cost(wire=weighted_sum(measured, ("keeper_wire_bytes_per_demand", own)))


def _renewals(size: Size, measured: Slopes) -> Cost:
    items = size.open_requests / size.shards * BUSIEST_SHARDS / KEEPER.renew_seconds
    return Cost(
        core=weighted_sum(measured, ("renewal_seconds_per_item", items)),
        wire=weighted_sum(measured, ("renewal_wire_bytes_per_item", items)),
    )


def _membership(size: Size, measured: Slopes) -> Cost:
    beats = 2.0 * MEMBERSHIP.neighbours / MEMBERSHIP.period
    return Cost(
        core=weighted_sum(measured, ("heartbeat_seconds", beats)),
        memory=weighted_sum(measured, ("member_bytes", size.daemons)),
        wire=weighted_sum(measured, ("heartbeat_wire_bytes", beats)),
    )


def _addresses(size: Size, measured: Slopes) -> Cost:
    asks = size.teams / OWNER.keep_seconds / size.daemons
    return Cost(
        core=weighted_sum(measured, ("address_seconds_per_member", asks * size.daemons))
    )


def _configuration(size: Size, measured: Slopes) -> Cost:
    changes = size.changes_per_day / DAY_SECONDS
    return Cost(
        core=weighted_sum(
            measured, ("configuration_seconds_per_team", changes * size.teams)
        ),
        memory=weighted_sum(
            measured, ("configuration_bytes_per_team", 2.0 * size.teams)
        ),
        wire=weighted_sum(measured, ("configuration_change_wire_bytes", 2.0 * changes)),
    )


def _relay(size: Size, measured: Slopes) -> Cost:
    # The caller package sends requests to the owner directly. Only a retry on another
    # instance after a broken connection is relayed: assumed for 1 in 100 requests.
    calls = size.requests_per_second / size.daemons / 100.0
    return Cost(core=weighted_sum(measured, ("relay_seconds_per_request", calls)))


def _reports(size: Size, measured: Slopes) -> Cost:
    requests = size.requests_per_second / size.daemons
    cells = float(BURN_BUCKETS * REPORTS.burn_max_cells)
    return Cost(
        core=weighted_sum(measured, ("metric_seconds_per_request", requests)),
        memory=weighted_sum(measured, ("burn_bytes_per_cell", cells)),
    )


def _register(role: Role) -> None:
    roles.register(role.name)(role)


_register(
    Role(
        "0 process",
        True,
        "interpreter, libraries, connections",
        "none",
        "one process, one event loop",
        _base,
    )
)
_register(
    Role(
        "1 owner",
        False,
        "an entry for each id until its token and its answer have expired; the events"
        " of open answers",
        "HTTP with callers and backend servers",
        "table of the incarnation that the id names; bounded by tiers",
        _owner,
    )
)
_register(
    Role(
        "2 demands",
        True,
        "one pending demand a waiting request",
        "demand out, permit in, release out, for its own requests",
        "bodies stay at the owner; prefix hashes at most 32",
        _demands,
    )
)
_register(
    Role(
        f"3 keeper of {BUSIEST_SHARDS} shards",
        True,
        "queue and running requests of its shards",
        "demand, permit and release of every request of its shards",
        "rendezvous hashing over the serving instances; 16 servers a shard",
        _keeper,
    )
)
_register(
    Role(
        "4 renewals at that keeper",
        True,
        "a lease for each running request",
        f"all outstanding requests every {KEEPER.renew_seconds:g} s",
        "a new keeper learns from them what is out",
        _renewals,
    )
)
_register(
    Role(
        "5 membership",
        True,
        "a line for each instance",
        f"heartbeats with {MEMBERSHIP.neighbours} neighbours every"
        f" {MEMBERSHIP.period:g} s, both ways",
        "neighbours by rendezvous rank; news of others rides on heartbeats",
        _membership,
    )
)
_register(
    Role(
        "6 address book",
        True,
        "none of its own",
        f"one answer a caller every {OWNER.keep_seconds:g} s (one caller a team taken)",
        "ranked from the members at each ask",
        _addresses,
    )
)
_register(
    Role(
        "7 configuration",
        True,
        "text and index of the revision in force, and of the one before while requests"
        " finish under it",
        "each change once in, once out: the replaced part of the text",
        "few watchers read the platform; heartbeats carry the revision; who is behind"
        " asks",
        _configuration,
    )
)
_register(
    Role(
        "8 relay",
        False,
        "none",
        "one call passed on, one hop",
        "the id names the owner",
        _relay,
    )
)
_register(
    Role(
        "9 reports",
        True,
        f"burn counters, at most {REPORTS.burn_max_cells} in each of {BURN_BUCKETS}"
        " buckets; the last events",
        "none until an operator asks",
        "dictionaries; the heaviest teams by name, all others as one",
        _reports,
    )
)
