"""Read and check settings and fleet texts whole: accepted, or one error.

Nothing starts half-configured: a text is either returned as its settings object or
refused by a :class:`~cassiaquay_schema.exceptions.SchemaError`.
"""

import re
import tomllib
import typing

import msgspec

from . import exceptions, fleet, places, settings

Shape = typing.TypeVar("Shape")
DIGEST = re.compile(r"[0-9a-f]{64}")
TOKEN_KEEPS = 4
SUSPECT_BEATS = 2
LEASE_RENEWALS = 2


def read_settings(text: str) -> settings.Settings:
    """Return the settings of one daemon process, checked whole."""
    found = _read(text, settings.Settings)
    check_settings(found)
    return found


def read_fleet(text: str) -> fleet.Fleet:
    """Return the fleet that an operators' text describes, checked whole."""
    found = _read(text, fleet.Fleet)
    check_fleet(found)
    return found


def check_settings(found: settings.Settings) -> None:
    """Raise the first fault in how the settings fit together."""
    owner, keeper, membership = found.owner, found.keeper, found.membership
    _at_least(
        "owner.token_seconds",
        owner.token_seconds,
        TOKEN_KEEPS * owner.keep_seconds,
        f"at least {TOKEN_KEEPS} times owner.keep_seconds: a caller forms ids with a"
        " token for as long as it keeps the address, and retries under them",
    )
    _at_least(
        "membership.suspect_after",
        membership.suspect_after,
        SUSPECT_BEATS * membership.period,
        f"at least {SUSPECT_BEATS} times membership.period: one late heartbeat is no"
        " failure",
    )
    _at_least(
        "membership.forget_after",
        membership.forget_after,
        membership.suspect_after,
        "at least membership.suspect_after",
    )
    _at_least(
        "keeper.lease_seconds",
        keeper.lease_seconds,
        LEASE_RENEWALS * keeper.renew_seconds,
        f"at least {LEASE_RENEWALS} times keeper.renew_seconds: one lost renewal must"
        " not free capacity that is in use",
    )
    for digest in found.operators:
        if DIGEST.fullmatch(digest) is None:
            raise exceptions.ShapeFault(
                "not a digest", "operators", "64 hex digits of a SHA-256 digest"
            )


def check_fleet(found: fleet.Fleet) -> None:
    """Raise the first fault in how the parts of a fleet refer to each other."""
    _check_tiers(found)
    _check_teams(found)
    _check_servers(found)
    _check_services(found)
    _check_cycles(found)


def _read(text: str, shape: type[Shape]) -> Shape:
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise exceptions.SyntaxFault(str(error), accepted="TOML 1.0") from error
    try:
        return msgspec.convert(values, shape)
    except msgspec.ValidationError as error:
        raise places.shape_fault(error, values, shape) from error


def _at_least(place: str, value: float, least: float, accepted: str) -> None:
    if value < least:
        raise exceptions.LimitFault(
            f"{value:g} is less than {least:g}", place, accepted
        )


def _check_tiers(found: fleet.Fleet) -> None:
    ranks: dict[int, str] = {}
    for name, tier in found.tiers.items():
        if tier.rank in ranks:
            raise exceptions.DuplicateFault(
                f"rank {tier.rank} is that of tier {ranks[tier.rank]!r} too",
                f"tiers.{name}.rank",
                "a rank of its own for each tier",
            )
        ranks[tier.rank] = name


def _check_teams(found: fleet.Fleet) -> None:
    credentials: dict[str, str] = {}
    for name, team in found.teams.items():
        for tier in team.tiers:
            _refer(tier, found.tiers, "tier", f"teams.{name}.tiers")
        for digest in team.credentials:
            place = f"teams.{name}.credentials"
            if DIGEST.fullmatch(digest) is None:
                raise exceptions.ShapeFault(
                    "not a digest", place, "64 hex digits of a SHA-256 digest"
                )
            if digest in credentials:
                raise exceptions.DuplicateFault(
                    f"team {credentials[digest]!r} has the same credential",
                    place,
                    "a credential of its own for each team",
                )
            credentials[digest] = name


def _check_servers(found: fleet.Fleet) -> None:
    names: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for pool_name, pool in found.pools.items():
        for index, server in enumerate(pool.servers):
            place = f"pools.{pool_name}.servers[{index}]"
            for seen, value in ((names, server.name), (addresses, server.address)):
                if value in seen:
                    raise exceptions.DuplicateFault(
                        f"{value!r} stands at {seen[value]} too",
                        place,
                        "a name and an address of its own for each server",
                    )
                seen[value] = place
            if server.model:
                _refer(server.model, found.models, "model", f"{place}.model")


def _check_services(found: fleet.Fleet) -> None:
    for name, service in found.services.items():
        place = f"services.{name}"
        _refer(service.pool, found.pools, "pool", f"{place}.pool")
        if service.model:
            _refer(service.model, found.models, "model", f"{place}.model")
        if service.adapter:
            if not service.model:
                raise exceptions.ReferenceFault(
                    "an adapter without a model", f"{place}.adapter", "a model too"
                )
            adapters = found.models[service.model].adapters
            _refer(service.adapter, adapters, "adapter", f"{place}.adapter")
        for other in service.depends_on:
            _refer(other, found.services, "service", f"{place}.depends_on")
        for index, objective in enumerate(service.objectives):
            at = f"{place}.objectives[{index}].tier"
            _refer(objective.tier, found.tiers, "tier", at)


def _check_cycles(found: fleet.Fleet) -> None:
    done: set[str] = set()
    for start in found.services:
        _walk(found, start, [], done)


def _walk(found: fleet.Fleet, name: str, path: list[str], done: set[str]) -> None:
    if name in path:
        circle = " -> ".join([*path[path.index(name) :], name])
        raise exceptions.CycleFault(
            f"services depend on each other: {circle}",
            f"services.{name}.depends_on",
            "dependencies without a circle",
        )
    if name in done:
        return
    for other in found.services[name].depends_on:
        _walk(found, other, [*path, name], done)
    done.add(name)


def _refer(
    name: str, known: typing.Mapping[str, object], kind: str, place: str
) -> None:
    if name in known:
        return
    there = ", ".join(sorted(known)) or "none"
    raise exceptions.ReferenceFault(
        f"no {kind} named {name!r}", place, f"one of: {there}"
    )
