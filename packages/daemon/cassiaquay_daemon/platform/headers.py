"""Decodes callers' request headers and filters headers in both directions."""

import collections.abc
import re
import typing

import multidict
import xxhash

from cassiaquay_schema import messages

from ..adapters import signals

Headers = collections.abc.Iterable[tuple[bytes, bytes]]
Pairs = list[tuple[str, str]]

ATTEMPT = b"cassiaquay-attempt-id"
# Remaining time that the caller waits, in milliseconds; not a timestamp.
DEADLINE = b"cassiaquay-deadline-ms"
KEY = b"api-key"
MODEL = b"cassiaquay-model"
COUNTS = b"cassiaquay-token-counts"
PREFIX = b"cassiaquay-prompt-prefix"
LENGTH_HINT = b"cassiaquay-length-hint"
LAST_EVENT = b"last-event-id"
# The attempt that brought the first event of the stream that the caller takes up.
RESUMES = b"resumes"
EXPECT_SERVER = "Cassiaquay-Expect-Instance"
TEAM = "Cassiaquay-Tenant"
# Answer header: the server did not begin to execute the request.
NOT_EXECUTED = "Cassiaquay-Not-Executed"
# Another server now has the address of the intended one, and did not execute it either.
MISDIRECTED_STATUS = 421
# Answer headers in which a server reports its state. It sends them for as long as they
# hold, except for Retry-After.
SIGNALS = signals.HeaderNames(
    "Server-Limit", "Server-Leaving", "Retry-After", "Server-Brittle"
)

# Headers that only this system may send to a server. A caller's headers of these names
# are dropped: they could pin memory, claim another caller's capacity or forge a team.
_RESERVED = {
    KEY,
    DEADLINE,
    b"cassiaquay-tenant",
    b"cassiaquay-expect-instance",
    b"cassiaquay-expect-version",
    b"cassiaquay-not-executed",
    b"cassiaquay-instance-id",
    b"cassiaquay-response-seal",
    b"cassiaquay-hold",
    b"cassiaquay-pin-ms",
    b"cassiaquay-kv-backup",
    b"kv-fetch",
    b"kv-from",
    b"server-brittle",
    b"server-leaving",
    b"server-limit",
    b"wait-ms",
}
# Hop-by-hop headers, which a proxy must not forward (RFC 9110, 7.6.1).
_HOP_BY_HOP = {
    b"connection",
    b"proxy-connection",
    b"keep-alive",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
    b"proxy-authorization",
    b"proxy-authenticate",
}
_HOP_BY_HOP_RESPONSE = {name.decode() for name in _HOP_BY_HOP} - {"content-length"}

# Control characters, which are invalid in a header's value (RFC 9110, 5.5).
_CONTROL = re.compile("[\x00-\x08\x0a-\x1f\x7f]")

MAX_TOKENS = 100_000_000
MAX_PROMPT_PARTS = 64
# Parts of one prompt that can be recognized in other prompts.
MAX_SHARED_PARTS = 256


class ParsedHeaders(typing.NamedTuple):
    """Values decoded from a caller's request headers.

    Attributes
    ----------
    host : str
        Requested host, without the port.
    attempt : str
        The caller's id of this attempt, or empty.
    deadline_ms : int
        Milliseconds that the caller waits; 0 if not given.
    key : str
        API key, or empty.
    prompt_tokens, most_output_tokens : int
        Tokens of the prompt and maximum tokens of the answer; both 0 for requests
        without token counts.
    output_tokens : int
        The caller's estimate of the answer's tokens; the maximum if not given.
    parts : list of PromptPart
        Parts of the prompt with chained hashes as keys: equal keys mean equal prompts
        up to and including that part.
    last_event : int
        Id of the last event that the caller has received; -1 for a new stream, or if
        the id is no number.
    resumes : str
        Id of the attempt that brought the first event of a stream that the caller takes
        up again; empty if it names none.
    shared_parts : tuple of str
        Digests of all parts but the last, by model, without repeats. Unlike the keys of
        ``parts`` they don't depend on what stands before a part.
    body_bytes : int
        Length of the body; 0 if it is not given, as for one in chunks.
    names_event : bool
        Whether the caller names an event, by number or any text.
    """

    host: str
    attempt: str
    deadline_ms: int
    key: str
    prompt_tokens: int
    most_output_tokens: int
    output_tokens: int
    parts: list[messages.PromptPart]
    last_event: int
    resumes: str = ""
    shared_parts: tuple[str, ...] = ()
    body_bytes: int = 0
    names_event: bool = False

    @property
    def counts_tokens(self) -> bool:
        """Whether the headers give token counts."""
        return bool(self.prompt_tokens or self.most_output_tokens)


def read(headers: Headers) -> ParsedHeaders:
    """Return the decoded headers; treat an invalid value as absent."""
    first_values: dict[bytes, bytes] = {}
    for name, value in headers:
        first_values.setdefault(name, value)
    host = first_values.get(b"host", b"").decode("latin-1").lower()
    counts = first_values.get(COUNTS, b"").split(b",")
    prompt_tokens = _parse_number(counts[0], 0)
    max_output_tokens = _parse_number(counts[1], 0) if len(counts) > 1 else 0
    length_hint = (
        min(
            _parse_number(first_values.get(LENGTH_HINT, b""), max_output_tokens),
            max_output_tokens,
        )
        or max_output_tokens
    )
    model, prefix = first_values.get(MODEL, b""), first_values.get(PREFIX, b"")
    return ParsedHeaders(
        host.partition(":")[0],
        first_values.get(ATTEMPT, b"").decode("latin-1"),
        _parse_number(first_values.get(DEADLINE, b""), 0),
        first_values.get(KEY, b"").decode("latin-1"),
        prompt_tokens,
        max_output_tokens,
        length_hint,
        _prompt_parts(model, prefix),
        _parse_event_id(first_values.get(LAST_EVENT, b"")),
        first_values.get(RESUMES, b"").decode("latin-1"),
        _shared_parts(model, prefix),
        _parse_number(first_values.get(b"content-length", b""), 0),
        LAST_EVENT in first_values,
    )


def attempt_of(headers: Headers) -> str:
    """Return the caller's id of an attempt, or empty."""
    for name, value in headers:
        if name == ATTEMPT:
            return value.decode("latin-1")
    return ""


def towards_server(
    headers: Headers, server: str, team: str, remaining_ms: int, last_event: int
) -> Pairs:
    """Return the headers to send to a backend server.

    Parameters
    ----------
    headers : iterable of pairs
        Headers as received from the caller, names in lower case.
    server : str
        Id of the intended server; another server that now has its address declines.
    team : str
        Team of the key; empty on public routes.
    remaining_ms : int
        Milliseconds until the deadline.
    last_event : int
        Id of the event after which the stream resumes; -1 for what the caller names,
        which may be no number.
    """
    dropped = _RESERVED | _HOP_BY_HOP | _connection_options(headers)
    if last_event >= 0:
        dropped = dropped | {LAST_EVENT}
    pairs: Pairs = []
    for name, value in headers:
        if name not in dropped:
            pairs.append((name.decode("latin-1"), value.decode("latin-1")))
    pairs.append((DEADLINE.decode(), _deadline_value(remaining_ms)))
    pairs.append((EXPECT_SERVER, server))
    if team:
        pairs.append((TEAM, team))
    if last_event >= 0:
        pairs.append((LAST_EVENT.decode(), str(last_event)))
    return pairs


def towards_server_again(headers: Headers, elapsed_ms: int) -> Pairs:
    """Return the headers of a request that another instance has sent here.

    They are as :func:`towards_server` has formed them, ``elapsed_ms`` ago.
    """
    pairs: Pairs = []
    for name, value in headers:
        if name in _HOP_BY_HOP:
            continue
        text = value.decode("latin-1")
        if name == DEADLINE:
            text = _deadline_value(_parse_number(value, 1) - elapsed_ms)
        pairs.append((name.decode("latin-1"), text))
    return pairs


def shorten_deadline(
    pairs: collections.abc.MutableMapping[str, str], elapsed_ms: int
) -> None:
    """Subtract the time since the headers were formed from the deadline in them."""
    name = DEADLINE.decode()
    if name in pairs:
        pairs[name] = _deadline_value(int(pairs[name]) - elapsed_ms)


def towards_caller(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a server's answer to send to the caller."""
    pairs = []
    for name, value in headers:
        if name.lower() in _HOP_BY_HOP_RESPONSE:
            continue
        if not value.isprintable():
            # The listener refuses them, and the whole answer would be lost.
            value = _CONTROL.sub(" ", value)
        # As the HTTP client decodes them, so that the bytes are those of the server.
        encoded = value.encode("utf-8", "surrogateescape")
        pairs.append((name.encode("latin-1"), encoded))
    return pairs


def answered_attempts(
    answer_headers: multidict.CIMultiDictProxy[str],
) -> set[str]:
    """Return the attempts that an answer names; several make it no one's answer."""
    return set(answer_headers.getall(ATTEMPT.decode(), [])) - {""}


def is_not_executed(
    status: int, answer_headers: multidict.CIMultiDictProxy[str]
) -> bool:
    """Return whether an answer says that its request was not executed."""
    return status == MISDIRECTED_STATUS or NOT_EXECUTED in answer_headers


def may_answer(
    attempt: str, status: int, answer_headers: multidict.CIMultiDictProxy[str]
) -> bool:
    """Return whether an answer may be that of an attempt.

    A server that does not execute a request may leave out its id.
    """
    named = answered_attempts(answer_headers)
    if named or not attempt:
        return named <= {attempt}
    return is_not_executed(status, answer_headers)


def read_signals(
    status: int, answer_headers: multidict.CIMultiDictProxy[str]
) -> signals.Signals:
    """Return what an answer says about its server."""
    return signals.read(SIGNALS, status, answer_headers)


def _connection_options(headers: Headers) -> set[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name != b"connection":
            continue
        for token in value.split(b","):
            token = token.strip().lower()
            # Headers that identify the request stay, even if the caller lists them.
            if not token.startswith(b"cassiaquay-"):
                named.add(token)
    return named


def _prompt_parts(model: bytes, text: bytes) -> list[messages.PromptPart]:
    parts: list[messages.PromptPart] = []
    chain = xxhash.xxh3_64_intdigest(model)
    for name, tokens in _split_prompt(text, MAX_PROMPT_PARTS):
        chain = xxhash.xxh3_64_intdigest(chain.to_bytes(8, "big") + name)
        parts.append(messages.PromptPart(chain, tokens))
    return parts


def _shared_parts(model: bytes, text: bytes) -> tuple[str, ...]:
    names = [name for name, _ in _split_prompt(text, MAX_SHARED_PARTS)]
    digests: dict[str, None] = {}
    for name in names[:-1]:
        digests[xxhash.xxh3_64_hexdigest(model + b"\0" + name.lower())] = None
    return tuple(digests)


def _split_prompt(
    text: bytes, most: int
) -> collections.abc.Iterator[tuple[bytes, int]]:
    """Yield the id and tokens of each valid part of a prompt."""
    for piece in text.split(b",")[:most]:
        name, _, count = piece.strip().rpartition(b":")
        tokens = _parse_number(count, 0)
        if name and tokens:
            yield name, tokens


def _parse_number(text: bytes, default: int) -> int:
    text = text.strip()
    if not text.isdigit() or len(text) > 12:
        return default
    return min(int(text), MAX_TOKENS)


def _parse_event_id(text: bytes) -> int:
    text = text.strip()
    return int(text) if text.isdigit() and len(text) <= 12 else -1


def _deadline_value(remaining_ms: int) -> str:
    return str(max(remaining_ms, 1))
