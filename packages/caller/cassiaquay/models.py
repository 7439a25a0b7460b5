"""What goes to and comes from cassiaquay: settings, requests, outcomes, answers."""

import typing

import msgspec

COMPLETED = "completed"
NOT_RUN = "not_run"
OUTCOME_UNKNOWN = "outcome_unknown"
FAILED = "failed"
UNDER_WAY = frozenset({"waiting", "dispatched"})
"""States of a request whose outcome is still to come."""


class Settings(typing.NamedTuple):
    """Settings of a session; durations in seconds.

    >>> Settings(seeds=["127.0.0.1:8101"], domain="east", credential="secret")
    """

    seeds: list[str]
    """Places ("host:port") to ask for addresses while none is known."""
    domain: str = ""
    """Failure domain that the caller runs in."""
    credential: str = ""
    """Credential of the team, sent as a bearer token."""
    timeout: float = 30.0
    """Deadline of a request that names none."""
    connect_timeout: float = 1.0
    """Bound on opening a connection, and on each address look-up."""
    silence_timeout: float = 3.0
    """Silence after which the instance is asked whether the request goes on."""
    question_timeout: float = 1.0
    """Bound on each question about a request; without an answer, others are asked."""
    cancel_timeout: float = 0.5
    """Bound on the cancellation sent once the deadline has passed."""
    close_timeout: float = 1.0
    """Bound on waiting for background acknowledgements at close."""
    max_attempts: int = 8
    """Attempts without progress, over all ids of one request."""
    backoff_base: float = 0.05
    backoff_cap: float = 2.0
    budget_capacity: float = 10.0
    """Retries that a session may make before the ratio binds it."""
    budget_ratio: float = 0.1
    """Retries earned by each new request."""
    max_background: int = 256
    """Acknowledgements and cancellations under way at once; more are dropped."""


class Address(typing.NamedTuple):
    """One instance that takes requests."""

    address: str
    instance: str
    domain: str
    token: str


class AddressList(typing.NamedTuple):
    """Answer of a look-up, best address first, good for ``keep_seconds``."""

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
    """A request before it has an id.

    ``restart`` allows a new id after ``outcome_unknown``; it has no effect on a
    request that is not idempotent.
    """

    body: RequestBody
    timeout: float
    restart: bool = True

    @property
    def may_restart(self) -> bool:
        """Whether a second run is harmless and allowed."""
        return self.restart and self.body.get("idempotent", True)


class Outcome(typing.NamedTuple):
    """What is known of a request; ``outcome`` is empty while it is under way."""

    outcome: str = ""
    code: str = ""
    state: str = ""
    message: str = ""
    retry_after: float = 0.0
    """Seconds."""
    address: str = ""
    """Hint where a new request may do better."""
    status: int = 200
    event_count: int = -1
    digest: str = ""

    @property
    def is_settled(self) -> bool:
        """Whether the outcome is known for good."""
        return self.outcome not in ("", OUTCOME_UNKNOWN)


class Answer(typing.NamedTuple):
    """A whole answer, checked against its count and digest.

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
        """The texts of all events, joined."""
        return "".join(read_text(data) for data in self.events)

    def json(self) -> typing.Any:
        """Return the body of a plain service, which is the only event."""
        return msgspec.json.decode(self.events[0])


def read_text(data: str) -> str:
    """Return the text of one event; empty for an event of another kind."""
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
    """Return the outcome in a JSON text, or None when it holds none."""
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
    """Return the address list in a JSON text, or None when it holds none."""
    try:
        wire = msgspec.json.decode(raw, type=_WireAddressList)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    found = [
        Address(one.address, one.instance, one.domain, one.token)
        for one in wire.addresses
    ]
    return AddressList(wire.keep_seconds, found)
