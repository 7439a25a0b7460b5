"""Reads and checks settings and fleet texts.

A text is either accepted as a whole, and returned as an object, or refused with one
:class:`~cassiaquay_schema.exceptions.SchemaError`; no process runs on part of a text.
"""

import re
import tomllib
import typing

import msgspec

from . import exceptions, fleet, places, settings

Shape = typing.TypeVar("Shape")
SHA256_HEX = re.compile(r"[0-9a-f]{64}")
TOKEN_FACTOR = 4
SUSPECT_FACTOR = 2
LEASE_FACTOR = 2


def read_settings(text: str) -> settings.Settings:
    """Return the checked settings of one daemon process."""
    found = _read(text, settings.Settings)
    check_settings(found)
    return found


def read_fleet(text: str) -> fleet.Fleet:
    """Return the checked fleet that a fleet text describes."""
    found = _read(text, fleet.Fleet)
    check_fleet(found)
    return found


def check_settings(found: settings.Settings) -> None:
    """Raise an error for the first value outside the limit that another one sets."""
    owner, keeper, membership = found.owner, found.keeper, found.membership
    _check_minimum(
        "owner.token_seconds",
        owner.token_seconds,
        TOKEN_FACTOR * owner.keep_seconds,
        f"at least {TOKEN_FACTOR} times owner.keep_seconds: a caller forms ids with a"
        " token for as long as it keeps the address, and retries under them",
    )
    _check_minimum(
        "membership.suspect_after",
        membership.suspect_after,
        SUSPECT_FACTOR * membership.period,
        f"at least {SUSPECT_FACTOR} times membership.period: one late heartbeat is no"
        " failure",
    )
    _check_minimum(
        "membership.forget_after",
        membership.forget_after,
        membership.suspect_after,
        "at least membership.suspect_after",
    )
    _check_minimum(
        "keeper.lease_seconds",
        keeper.lease_seconds,
        LEASE_FACTOR * keeper.renew_seconds,
        f"at least {LEASE_FACTOR} times keeper.renew_seconds: one lost renewal must"
        " not free capacity that is in use",
    )
    for digest in found.operators:
        if SHA256_HEX.fullmatch(digest) is None:
            raise exceptions.ShapeFault(
                "not a digest", "operators", "64 hex digits of a SHA-256 digest"
            )


def check_fleet(found: fleet.Fleet) -> None:
    """Raise an error for the first duplicate, dangling reference or cycle."""
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


def _check_minimum(place: str, value: float, least: float, accepted: str) -> None:
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
            _check_reference(tier, found.tiers, "tier", f"teams.{name}.tiers")
        for digest in team.credentials:
            place = f"teams.{name}.credentials"
            if SHA256_HEX.fullmatch(digest) is None:
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
                        f"{value!r} is already used at {seen[value]}",
                        place,
                        "a name and an address of its own for each server",
                    )
                seen[value] = place
            if server.model:
                _check_reference(server.model, found.models, "model", f"{place}.model")


def _check_services(found: fleet.Fleet) -> None:
    for name, service in found.services.items():
        place = f"services.{name}"
        _check_reference(service.pool, found.pools, "pool", f"{place}.pool")
        if service.model:
            _check_reference(service.model, found.models, "model", f"{place}.model")
        if service.adapter:
            if not service.model:
                raise exceptions.ReferenceFault(
                    "an adapter without a model", f"{place}.adapter", "a model as well"
                )
            adapters = found.models[service.model].adapters
            _check_reference(service.adapter, adapters, "adapter", f"{place}.adapter")
        for other in service.depends_on:
            _check_reference(other, found.services, "service", f"{place}.depends_on")
        for index, objective in enumerate(service.objectives):
            at = f"{place}.objectives[{index}].tier"
            _check_reference(objective.tier, found.tiers, "tier", at)


def _check_cycles(found: fleet.Fleet) -> None:
    done: set[str] = set()
    for start in found.services:
        _check_cycles_from(found, start, [], done)


def _check_cycles_from(
    found: fleet.Fleet, name: str, path: list[str], done: set[str]
) -> None:
    if name in path:
        cycle = " -> ".join([*path[path.index(name) :], name])
        raise exceptions.CycleFault(
            f"circular dependency of services: {cycle}",
            f"services.{name}.depends_on",
            "dependencies without a cycle",
        )
    if name in done:
        return
    for other in found.services[name].depends_on:
        _check_cycles_from(found, other, [*path, name], done)
    done.add(name)


def _check_reference(
    name: str, known: typing.Mapping[str, object], kind: str, place: str
) -> None:
    if name in known:
        return
    names = ", ".join(sorted(known)) or "none"
    raise exceptions.ReferenceFault(
        f"no {kind} named {name!r}", place, f"one of: {names}"
    )
