"""Requests as callers send them, checked before anything else looks at them."""

import hashlib
import typing

import msgspec

from cassiaquay_schema import fleet

from .. import exceptions
from ..adapters import backends
from ..configured import snapshots
from ..decisions import prefixes
from . import tokens

MAX_TOKENS_LIMIT = 32768
DEFAULT_MAX_TOKENS = 256


class Body(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The JSON body of a request; docs/CALLERS.md tells what each key means."""

    service: str
    tier: str = ""
    deadline_ms: typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] | None = None
    idempotent: bool = True
    prompt: str = ""
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS_LIMIT)] = (
        DEFAULT_MAX_TOKENS
    )
    session: typing.Annotated[str, msgspec.Meta(max_length=200)] = ""
    path: typing.Annotated[str, msgspec.Meta(max_length=500)] = ""
    payload: msgspec.Raw = msgspec.Raw(b"null")
    parent: typing.Annotated[str, msgspec.Meta(max_length=200)] = ""


class Accepted(typing.NamedTuple):
    """A request that fits the configuration.

    Attributes
    ----------
    id : RequestId
        Its id.
    team, service, tier : str
        Names.
    rank : int
        Rank of the tier.
    pool : str
        Pool that serves it.
    call : Call
        What the backend server gets.
    prompt_tokens, output_tokens : int
        Estimates.
    deadline_seconds : float
        Time from acceptance in which the answer is of use.
    body : Body
        As sent.
    snapshot : Snapshot
        The configuration that it was accepted under, and finishes under.
    """

    id: tokens.RequestId
    team: str
    service: str
    tier: str
    rank: int
    pool: str
    call: backends.Call
    prompt_tokens: int
    output_tokens: int
    deadline_seconds: float
    body: Body
    snapshot: snapshots.Snapshot

    @property
    def adapter_name(self) -> str:
        """Adapter of the backend servers that serve it."""
        return self.snapshot.fleet.pools[self.pool].adapter

    @property
    def service_settings(self) -> fleet.Service:
        """Settings of its service."""
        return self.snapshot.fleet.services[self.service]


def read(data: bytes) -> Body:
    """Return the parsed body; raise BadRequest when it is none."""
    try:
        return msgspec.json.decode(data, type=Body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise exceptions.BadRequest(str(error)) from error


def fingerprint(body: Body) -> bytes:
    """Return a digest of all that must not change between copies of a request."""
    # The time left shrinks from copy to copy; it is the only part that may differ.
    fixed = msgspec.structs.replace(body, deadline_ms=None)
    return hashlib.blake2b(msgspec.json.encode(fixed), digest_size=16).digest()


def without_body(accepted: Accepted) -> Accepted:
    """Return a request without what only its dispatch needs."""
    body = msgspec.structs.replace(
        accepted.body, prompt="", payload=msgspec.Raw(b"null")
    )
    call = accepted.call._replace(prompt="", payload=b"")
    return accepted._replace(body=body, call=call)


def accept(
    request_id: tokens.RequestId, team: str, data: bytes, snapshot: snapshots.Snapshot
) -> Accepted:
    """Return the checked request; raise a Refusal when it cannot be one."""
    body = read(data)
    service = snapshot.fleet.services.get(body.service)
    if service is None:
        raise exceptions.BadRequest(f"no service named {body.service!r}")
    allowed = snapshot.fleet.teams[team].tiers
    tier = body.tier or allowed[0]
    if tier not in allowed:
        raise exceptions.TierForbidden(f"team {team!r} may not use tier {tier!r}")
    if service.model and not body.prompt:
        raise exceptions.BadRequest("a prompt is needed")
    if not service.model and not body.path.startswith("/"):
        raise exceptions.BadRequest("a path that begins with / is needed")
    call = backends.Call(
        key_of(request_id, team),
        service.model,
        service.adapter,
        body.prompt,
        body.max_tokens,
        body.path,
        bytes(body.payload),
    )
    prompt_tokens = prefixes.tokens(body.prompt) if service.model else 0
    output_tokens = body.max_tokens if service.model else 1
    deadline_ms = body.deadline_ms or service.deadline_ms
    return Accepted(
        request_id,
        team,
        body.service,
        tier,
        snapshot.fleet.tiers[tier].rank,
        service.pool,
        call,
        prompt_tokens,
        output_tokens,
        deadline_ms / 1000.0,
        body,
        snapshot,
    )


def key_of(request_id: tokens.RequestId, team: str) -> str:
    """Return the id under which backend servers know a request."""
    # The team is part of it: an instance that resumes the stream of a dead owner
    # cannot look up whose it was, and must not hand it to another team that learnt
    # the id.
    return f"{request_id.text}~{team}"


class _Named(msgspec.Struct):
    service: str = ""


def service_of(data: bytes) -> str:
    """Return the service that a body names, or an empty string."""
    try:
        return msgspec.json.decode(data, type=_Named).service
    except msgspec.DecodeError:
        return ""
