"""Settings, requests, outcomes, answers and addresses, and their parsing."""

import typing

import msgspec

COMPLETED = "completed"
NOT_RUN = "not_run"
OUTCOME_UNKNOWN = "outcome_unknown"
FAILED = "failed"
UNDER_WAY = frozenset({"waiting", "dispatched"})
"""States of a request that has no outcome yet."""


class Settings(typing.NamedTuple):
    """Settings of a session; durations in seconds.

    >>> Settings(seeds=["127.0.0.1:8101"], domain="east", credential="secret")
    """

    seeds: list[str]
    """Instances ("host:port") to look up addresses at while none is known."""
    domain: str = ""
    """Failure domain in which the caller runs."""
    credential: str = ""
    """Credential of the team, sent as a bearer token."""
    timeout: float = 30.0
    """Time limit of a request that sets no deadline."""
    connect_timeout: float = 1.0
    """Time limit for opening a connection, and for each address look-up."""
    silence_timeout: float = 3.0
    """Time without data after which the instance is queried for the request's state."""
    question_timeout: float = 1.0
    """Time limit of each such query; after it, another instance is used."""
    cancel_timeout: float = 0.5
    """Time limit of the cancellation that is sent after the deadline."""
    close_timeout: float = 1.0
    """Time limit for background work, also when the session is closed."""
    max_attempts: int = 8
    """Maximum number of attempts without progress, over all ids of one request."""
    backoff_base: float = 0.05
    backoff_cap: float = 2.0
    budget_capacity: float = 10.0
    """Maximum number of saved retries; a session starts with as many."""
    budget_ratio: float = 0.1
    """Retries added to the budget by each new request."""
    max_background: int = 256
    """Maximum number of concurrent background calls; more are dropped."""


class Address(typing.NamedTuple):
    """The address of an instance that accepts requests, and its token for ids."""

    address: str
    instance: str
    domain: str
    token: str


class AddressList(typing.NamedTuple):
    """Result of a look-up, best address first, valid for ``keep_seconds``."""

    keep_seconds: float
    addresses: list[Address]


class RequestBody(typing.TypedDict, total=False):
    """JSON body of a request."""

    service: str
    tier: str
    deadline_ms: int
    idempotent: bool
    prompt: str
    max_tokens: int
    session: str
    path: str
    payload: typing.Any
    parent: str


class Request(typing.NamedTuple):
    """A request that has no id yet.

    ``restart`` allows a second run under a new id after ``outcome_unknown``; it has no
    effect on a request that is not idempotent.
    """

    body: RequestBody
    timeout: float
    restart: bool = True

    @property
    def may_restart(self) -> bool:
        """Whether the request is idempotent and a second run is allowed."""
        return self.restart and self.body.get("idempotent", True)


class Outcome(typing.NamedTuple):
    """The known state of a request; ``outcome`` is empty while it is under way."""

    outcome: str = ""
    code: str = ""
    state: str = ""
    message: str = ""
    retry_after: float = 0.0
    """Seconds to wait before a new request."""
    address: str = ""
    """Preferred address for a new request, or empty."""
    status: int = 200
    event_count: int = -1
    digest: str = ""

    @property
    def is_settled(self) -> bool:
        """Whether the outcome is known and final."""
        return self.outcome not in ("", OUTCOME_UNKNOWN)


class Answer(typing.NamedTuple):
    """A whole answer, verified against its event count and digest.

    >>> answer = await session.ask("tutor-assist", "What is a prime?")
    >>> answer.text, answer.count
    """

    request_id: str
    events: list[str]
    """The ``data:`` values in order."""
    digest: str

    @property
    def count(self) -> int:  # type: ignore[override]  # not the tuple method
        """Number of events."""
        return len(self.events)

    @property
    def text(self) -> str:
        """Concatenated texts of all events."""
        return "".join(read_text(data) for data in self.events)

    def json(self) -> typing.Any:
        """Return the body of a plain service, which is the only event."""
        return msgspec.json.decode(self.events[0])


def read_text(data: str) -> str:
    """Return the text of one event; empty for an event without text."""
    try:
        value = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return ""
    if not isinstance(value, dict):
        return ""
    return str(value.get("text", ""))


class _WireOutcome(msgspec.Struct):
    outcome: str | None = None
    code: str | None = None
    state: str | None = None
    message: str | None = None
    retry_after_ms: float | None = None
    address: str | None = None
    count: int | None = None
    digest: str | None = None


def parse_outcome(raw: bytes | str, status: int = 200) -> Outcome | None:
    """Return the outcome in a JSON text, or None when it is not an outcome."""
    try:
        wire = msgspec.json.decode(raw, type=_WireOutcome)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return Outcome(
        outcome=wire.outcome or "",
        code=wire.code or "",
        state=wire.state or "",
        message=wire.message or "",
        retry_after=max(0.0, wire.retry_after_ms or 0.0) / 1000,
        address=wire.address or "",
        status=status,
        event_count=-1 if wire.count is None else wire.count,
        digest=wire.digest or "",
    )


class _WireAddress(msgspec.Struct):
    address: str
    token: str
    instance: str = ""
    domain: str = ""


class _WireAddressList(msgspec.Struct):
    keep_seconds: float
    addresses: list[_WireAddress]


def parse_addresses(raw: bytes) -> AddressList | None:
    """Return the address list in a JSON text, or None when it is not a list."""
    try:
        wire = msgspec.json.decode(raw, type=_WireAddressList)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    found = [
        Address(entry.address, entry.instance, entry.domain, entry.token)
        for entry in wire.addresses
    ]
    return AddressList(wire.keep_seconds, found)
