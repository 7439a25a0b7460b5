"""Parsing and validation of requests as callers send them."""

import hashlib
import typing

import msgspec

from cassiaquay_schema import fleet

from .. import decoding, exceptions
from ..adapters import backends
from ..configured import snapshots
from ..decisions import prefixes
from . import tokens

MAX_TOKENS_LIMIT = 32768
DEFAULT_MAX_TOKENS = 256


class Body(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The JSON body of a request; docs/CALLERS.md describes each key."""

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
    """A request that is valid under the current configuration.

    Attributes
    ----------
    id : RequestId
        Its id.
    team, service, tier : str
        Names.
    rank : int
        Rank of the tier; 0 is the most important.
    pool : str
        Pool of backend servers that serves it.
    call : Call
        What the backend server is sent.
    prompt_tokens, output_tokens : int
        Estimates.
    deadline_seconds : float
        Time from acceptance within which the answer is useful.
    body : Body
        The body as sent.
    snapshot : Snapshot
        The configuration under which it was accepted and runs.
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
    """Return the parsed body; raise BadRequest if it is malformed."""
    try:
        return decoding.decode_json(data, Body)
    except exceptions.UndecodableText as error:
        raise exceptions.BadRequest(str(error)) from error


def fingerprint(body: Body) -> bytes:
    """Return a digest of the fields that must be equal in all copies of a request."""
    # The remaining time shrinks from copy to copy; only it may differ.
    comparable = msgspec.structs.replace(body, deadline_ms=None)
    return hashlib.blake2b(msgspec.json.encode(comparable), digest_size=16).digest()


def without_body(accepted: Accepted) -> Accepted:
    """Return a request without the prompt and payload, which only dispatch needs."""
    body = msgspec.structs.replace(
        accepted.body, prompt="", payload=msgspec.Raw(b"null")
    )
    call = accepted.call._replace(prompt="", payload=b"")
    return accepted._replace(body=body, call=call)


def accept(
    request_id: tokens.RequestId, team: str, data: bytes, snapshot: snapshots.Snapshot
) -> Accepted:
    """Validate a request; raise a Refusal if the configuration does not allow it."""
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
    """Return the key that identifies a request at backend servers."""
    # The key includes the team: an instance that resumes the stream of a failed owner
    # has no record of the team, and must not send the stream to another team that has
    # obtained the id.
    return f"{request_id.text}~{team}"


class _ServiceName(msgspec.Struct):
    service: str = ""


def service_of(data: bytes) -> str:
    """Return the service that a body names, or an empty string."""
    try:
        named: _ServiceName = decoding.decode_json(data, _ServiceName)
    except exceptions.UndecodableText:
        return ""
    return named.service
