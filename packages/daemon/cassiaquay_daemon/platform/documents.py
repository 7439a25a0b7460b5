"""Translates the platform's configuration document into the daemon's snapshot."""

import hashlib

import msgspec

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import fleet as fleet_schema

from .. import decoding, exceptions
from ..configured import routing, snapshots
from . import numbers

FORMAT_NAME = "store"
# The document sets no lower bound; no request can be served in less time.
MIN_TIMEOUT_MS = 1.0
KINDS = {
    "idempotent": routing.Kind.IDEMPOTENT,
    "non_idempotent": routing.Kind.NON_IDEMPOTENT,
    "stream": routing.Kind.STREAM,
}


class _Backend(msgspec.Struct, rename="kebab"):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="kebab"):
    host: str
    path_prefix: str
    kind: str
    name: str = ""
    # The service of all requests; empty where `backends` splits them.
    service: str = ""
    backends: list[_Backend] = []
    timeout_ms: float = 30_000.0
    slo_ms: float = 0.0
    priority: int = 0
    attempts: int = 1
    public: bool = False
    can_resume: bool = False
    gap_target_ms: float = 0.0


class _Engine(msgspec.Struct, rename="kebab"):
    # Tokens in one event of an answer's stream.
    stride: int = 1


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    # Present if the servers are model engines.
    engine: _Engine | None = None
    # Time for which a server is cold after its start, and its request rate meanwhile.
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = "requests"
    # Tokens charged for a request without token counts.
    plain_tokens: int = 1
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Document(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Numbered(msgspec.Struct):
    version: int


def number_of(text: str) -> int | None:
    """Return the operators' number of a document, or None if it has no valid one."""
    try:
        numbered: _Numbered = decoding.decode_json(text, _Numbered)
    except exceptions.UndecodableText:
        return None
    return numbers.clamp(numbered.version)


@snapshots.readers.register(FORMAT_NAME)
def read(revision: int, text: str) -> snapshots.Snapshot:
    """Return the snapshot of a document; raise SchemaError if it is invalid."""
    try:
        document: _Document = decoding.decode_json(text, _Document)
    except exceptions.UndecodableText as error:
        raise schema_exceptions.SchemaError(str(error)) from error
    _clamp_numbers(document)
    teams = [(tenant, _team(tenant)) for tenant in document.tenants or []]
    routes = routing.Routing(
        document.version,
        _routes_by_host(document),
        {key: team for tenant, team in teams for key in tenant.api_keys},
        {team.name: team.quota for _, team in teams if team.quota is not None},
        document.tenants is not None,
        _event_tokens(document),
        routing.Bounds(
            document.limits.max_header_bytes,
            document.limits.max_body_bytes,
            document.limits.header_timeout_ms / 1000.0,
            document.limits.idle_timeout_ms / 1000.0,
        ),
    )
    fleet = _fleet(document)
    credentials = {}
    for name, team in fleet.teams.items():
        for digest in team.credentials:
            credentials[digest] = name
    return snapshots.Snapshot(revision, text, fleet, credentials, routes)


def _clamp_numbers(document: _Document) -> None:
    items: list[msgspec.Struct] = [
        document.limits,
        *document.routes,
        *document.services,
        *(document.tenants or []),
    ]
    for route in document.routes:
        items.extend(route.backends)
    for service in document.services:
        if service.engine is not None:
            items.append(service.engine)
    for item in items:
        numbers.clamp_fields(item)


def _event_tokens(document: _Document) -> dict[str, int]:
    tokens_by_service = {}
    for item in document.services:
        if item.engine is not None:
            tokens_by_service[item.name] = max(item.engine.stride, 1)
    return tokens_by_service


def _routes_by_host(document: _Document) -> dict[str, list[routing.Route]]:
    hosts: dict[str, list[routing.Route]] = {}
    for item in document.routes:
        route = _route(item)
        hosts.setdefault(route.host, []).append(route)
    for routes in hosts.values():
        routes.sort(key=_prefix_length, reverse=True)
    return hosts


def _prefix_length(route: routing.Route) -> int:
    return len(route.prefix)


def _route(item: _Route) -> routing.Route:
    kind = KINDS.get(item.kind)
    if kind is None:
        # Requests of an unknown kind may have side effects and are never repeated.
        kind = routing.Kind.NON_IDEMPOTENT
    shares = [routing.Share(part.service, part.weight) for part in item.backends]
    if item.service:
        shares = [routing.Share(item.service, 1.0)]
    return routing.Route(
        item.name,
        item.host.lower(),
        item.path_prefix,
        kind,
        tuple(share for share in shares if share.weight > 0),
        max(item.timeout_ms, MIN_TIMEOUT_MS) / 1000.0,
        item.slo_ms / 1000.0,
        item.gap_target_ms / 1000.0,
        item.priority,
        max(item.attempts, 1),
        item.public,
        item.can_resume,
    )


def _team(tenant: _Tenant) -> routing.Team:
    quota = None
    if tenant.rate_per_s > 0:
        quota = routing.Quota(
            tenant.rate_per_s,
            tenant.burst,
            tenant.unit == "tokens",
            tenant.plain_tokens if tenant.unit == "tokens" else 1,
        )
    return routing.Team(tenant.name, tenant.priority, quota)


def _fleet(document: _Document) -> fleet_schema.Fleet:
    """Return the fleet that keepers and operators' views derive from a document."""
    ranks = set()
    for document_route in document.routes:
        route = _route(document_route)
        ranks.add(routing.rank_of(None, route))
        for tenant in document.tenants or []:
            ranks.add(routing.rank_of(_team(tenant), route))
    tiers = {}
    for rank in sorted(ranks) or [0]:
        tiers[f"rank-{rank}"] = fleet_schema.Tier(rank=rank)
    teams = {}
    for tenant in document.tenants or []:
        digests = []
        for key in tenant.api_keys:
            digests.append(hashlib.sha256(key.encode()).hexdigest())
        teams[tenant.name] = fleet_schema.Team(credentials=digests, tiers=list(tiers))
    pools = {}
    services = {}
    for item in document.services:
        # Servers register themselves; they join the pool when the registrations are
        # read.
        pools[item.name] = fleet_schema.Pool(
            servers=[],
            cold_seconds=max(item.cold_start_s, 0.0),
            cold_requests_per_second=max(item.cold_per_s, 0.0),
        )
        services[item.name] = fleet_schema.Service(pool=item.name)
    return fleet_schema.Fleet(tiers=tiers, teams=teams, pools=pools, services=services)
