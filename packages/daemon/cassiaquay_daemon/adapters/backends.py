"""Adapters that dispatch, read, resume and cancel requests at backend servers.

To support another protocol, register a class here or in a module of its own.
"""

import asyncio
import collections.abc
import types
import typing

import aiohttp
import msgspec

from cassiaquay_schema import fleet, registry

from .. import bounded_http, decoding, exceptions, logs, response_ends
from . import answers, blocks, breaks, identified_http, signals

CONNECT_TIMEOUT_SECONDS = 2.0
CANCEL_TIMEOUT_SECONDS = 3.0
RESUME_TRIES = 3
FIRST_FAILURE_STATUS = 500
RESUME_PAUSE_SECONDS = 0.1
# Engines send an event for each token.
MAX_EVENT_BYTES = 1024 * 1024
MAX_CANCEL_BYTES = 64 * 1024
# The status of a failure counts; its body is only quoted. Within these bounds it is
# read to its end, so that the connection can be used again.
MAX_FAILURE_BYTES = 64 * 1024
FAILURE_BODY_SECONDS = 0.3
QUOTED_BYTES = 200

SIGNALS = signals.HeaderNames(
    "Server-Limit", "Server-Leaving", "Retry-After", "Server-Brittle"
)

BeforeSending = collections.abc.Callable[[], None]
# Receives what an answer says about its server, and whether the server failed.
OnSignals = collections.abc.Callable[[signals.Signals, bool], None]


class Call(typing.NamedTuple):
    """One request as it is sent to a backend server.

    Attributes
    ----------
    key : str
        Id of the request at the server.
    model, adapter : str
        For model engines.
    prompt : str
        For model engines.
    max_tokens : int
        For model engines.
    path : str
        For plain services.
    payload : bytes
        JSON, for plain services.
    """

    key: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    path: str
    payload: bytes


class TokenUsage(typing.NamedTuple):
    """Tokens that a finished request used."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


class WastedTokens(typing.NamedTuple):
    """Tokens that a request used before it was cancelled."""

    prefilled_tokens: int
    generated_tokens: int


class Backend(typing.Protocol):
    """A protocol of backend servers.

    Attributes
    ----------
    can_stop : bool
        Whether a running request can be stopped.
    """

    can_stop: bool

    def __init__(self, http: aiohttp.ClientSession): ...

    async def run(
        self,
        server: fleet.Server,
        call: Call,
        answer: answers.Answer,
        before_sending: BeforeSending,
        on_signals: OnSignals,
    ) -> TokenUsage:
        """Dispatch a request and read its answer to the end.

        ``before_sending`` is called when the connection is established and no byte of
        the request has been written; it may raise :class:`~exceptions.NotSent` to stop
        the dispatch. ``on_signals`` is called with the head of the answer.
        """

    async def resume(
        self, server: fleet.Server, key: str, answer: answers.Answer
    ) -> TokenUsage:
        """Read a stream that the server still holds, from the end of ``answer`` on."""

    async def cancel(self, server: fleet.Server, key: str) -> WastedTokens | None:
        """Stop a request; return the tokens that it used, None if unknown."""


backends: registry.Registry[type[Backend]] = registry.Registry("backend adapter")


def tracing() -> aiohttp.TraceConfig:
    """Return the aiohttp hooks that call ``before_sending`` for each dispatch."""

    async def connected(
        session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        parameters: object,
    ) -> None:
        before_sending = context.trace_request_ctx
        if before_sending is not None:
            before_sending()

    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(connected)
    config.on_connection_reuseconn.append(connected)
    return config


class _DoneBody(typing.TypedDict):
    count: int
    prompt_tokens: int
    cached_tokens: int


class _CancelBody(typing.TypedDict):
    prefilled_tokens: int
    generated_tokens: int


def _timeout() -> aiohttp.ClientTimeout:
    # The owner's task ends a request at its deadline, so the client needs no timeout.
    return aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)


@backends.register("engine-http")
class EngineHttp:
    """Model engines that stream events over HTTP."""

    can_stop = True

    def __init__(self, http: aiohttp.ClientSession):
        self._http = http

    async def run(
        self,
        server: fleet.Server,
        call: Call,
        answer: answers.Answer,
        before_sending: BeforeSending,
        on_signals: OnSignals,
    ) -> TokenUsage:
        """Dispatch a request and read its stream; resume the stream if it is cut."""
        body = {
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "model": call.model,
            "adapter": call.adapter,
        }
        request = self._http.post(
            f"http://{server.address}/v1/streams/{call.key}",
            data=msgspec.json.encode(body),
            headers=_headers(call.key),
            timeout=_timeout(),
            trace_request_ctx=before_sending,
        )
        try:
            async with request as response:
                _report_signals(response, on_signals)
                await _check(response)
                answer.open()
                return await _read(response, answer)
        except exceptions.StreamInterrupted:
            pass
        except aiohttp.ClientConnectorError as error:
            raise exceptions.NotSent(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise exceptions.NotSent(str(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError):
            pass
        return await self._resume_with_retries(server, call.key, answer)

    async def resume(
        self, server: fleet.Server, key: str, answer: answers.Answer
    ) -> TokenUsage:
        """Read a stream that the engine still holds, from the end of ``answer`` on."""
        request = self._http.get(
            f"http://{server.address}/v1/streams/{key}?from={answer.count}",
            headers={identified_http.REQUEST_ID: key},
            timeout=_timeout(),
        )
        try:
            async with request as response:
                if response.status == 404:
                    raise exceptions.StreamNotFound(key)
                await _check(response)
                answer.open()
                return await _read(response, answer)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise breaks.to_stream_interrupted(error) from error

    async def cancel(self, server: fleet.Server, key: str) -> WastedTokens | None:
        """Stop a stream."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_SECONDS)
        url = f"http://{server.address}/v1/streams/{key}"
        named = {identified_http.REQUEST_ID: key}
        request = self._http.delete(url, headers=named, timeout=timeout)
        try:
            async with request as response:
                if response.status != 200:
                    return None
                body = await bounded_http.read_body(response, MAX_CANCEL_BYTES)
                body_fields: _CancelBody = decoding.decode_json(body, _CancelBody)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            logs.detail("cancel_failed", server=server.name, cause=repr(error))
            return None
        except exceptions.UndecodableText:
            return None
        return WastedTokens(
            body_fields["prefilled_tokens"], body_fields["generated_tokens"]
        )

    async def _resume_with_retries(
        self, server: fleet.Server, key: str, answer: answers.Answer
    ) -> TokenUsage:
        # Resuming a stream is not a second dispatch: the engine finds it by its id and
        # neither prefills nor generates again.
        error_type: type[exceptions.StreamInterrupted] = exceptions.StreamInterrupted
        for _ in range(RESUME_TRIES):
            try:
                return await self.resume(server, key, answer)
            except exceptions.StreamInterrupted as error:
                error_type = type(error)
                await asyncio.sleep(RESUME_PAUSE_SECONDS)
        raise error_type(f"the stream of {server.name} broke off for good")


@backends.register("plain-http")
class PlainHttp:
    """Plain services: one JSON body in, one out."""

    can_stop = False

    def __init__(self, http: aiohttp.ClientSession):
        self._http = http

    async def run(
        self,
        server: fleet.Server,
        call: Call,
        answer: answers.Answer,
        before_sending: BeforeSending,
        on_signals: OnSignals,
    ) -> TokenUsage:
        """Dispatch a request and keep its body as the answer's only event."""
        request = self._http.post(
            f"http://{server.address}{call.path}",
            data=call.payload,
            headers=_headers(call.key),
            timeout=_timeout(),
            allow_redirects=False,
            trace_request_ctx=before_sending,
        )
        try:
            async with request as response:
                _report_signals(response, on_signals)
                if response.status >= 300:
                    raise exceptions.Rejected(await _failure_message(response))
                body = await _read_whole(response, answer)
                is_framed = response_ends.is_framed(response)
        except aiohttp.ClientConnectorError as error:
            raise exceptions.NotSent(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise exceptions.NotSent(str(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            # The request may have run, and plain services keep no answer to read again.
            raise breaks.to_stream_interrupted(error) from error
        finally:
            answer.stop_receiving()
        _check_json(body)
        if not is_framed and not response_ends.marks_itself(body):
            raise exceptions.StreamInterrupted("the connection ends behind a digit")
        answer.append(body.replace(b"\n", b" ").replace(b"\r", b" "))
        return TokenUsage(0, 0, 1)

    async def resume(
        self, server: fleet.Server, key: str, answer: answers.Answer
    ) -> TokenUsage:
        """Raise StreamNotFound: plain services keep no answers."""
        raise exceptions.StreamNotFound(key)

    async def cancel(self, server: fleet.Server, key: str) -> WastedTokens | None:
        """Return None: plain services cannot stop a request."""
        return None


def _headers(key: str) -> dict[str, str]:
    return {"Content-Type": "application/json", identified_http.REQUEST_ID: key}


def _report_signals(response: aiohttp.ClientResponse, on_signals: OnSignals) -> None:
    found = signals.read(SIGNALS, response.status, response.headers)
    on_signals(found, response.status >= FIRST_FAILURE_STATUS)


async def _check(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    message = await _failure_message(response)
    if response.status in (400, 503):
        raise exceptions.Declined(message)
    if response.status == 409:
        # The engine already has this id: resume its stream instead of running it again.
        raise exceptions.StreamInterrupted(message)
    raise exceptions.Rejected(message)


async def _failure_message(response: aiohttp.ClientResponse) -> str:
    body = bytearray()
    try:
        async with asyncio.timeout(FAILURE_BODY_SECONDS):
            while len(body) <= MAX_FAILURE_BYTES:
                data = await response.content.readany()
                if not data:
                    break
                body += data
    except TimeoutError:
        logs.detail("failure_incomplete", status=response.status, bytes=len(body))
    text = body[:QUOTED_BYTES].decode(errors="replace")
    return f"status {response.status}: {text}"


async def _read_whole(
    response: aiohttp.ClientResponse, answer: answers.Answer
) -> bytes:
    if (response.content_length or 0) > answers.MAX_ANSWER_BYTES:
        raise exceptions.StreamInterrupted(f"{response.content_length} bytes announced")
    body = bytearray()
    while data := await response.content.readany():
        body += data
        await answer.receive(len(body))
    return bytes(body)


def _check_json(body: bytes) -> None:
    try:
        # Decoded values may take fifty times the memory of their text.
        decoding.decode_json(body, msgspec.Raw)
        body.decode()
    except (exceptions.UndecodableText, UnicodeDecodeError) as error:
        raise exceptions.Rejected("the answer is not JSON") from error


async def _read(response: aiohttp.ClientResponse, answer: answers.Answer) -> TokenUsage:
    received = blocks.Blocks()
    try:
        async for data in response.content.iter_any():
            usage = _append_events(received.feed(data), answer)
            if usage is not None:
                return usage
            if received.size > MAX_EVENT_BYTES:
                raise exceptions.StreamInterrupted(
                    f"event of over {MAX_EVENT_BYTES} bytes"
                )
            await answer.receive(received.size)
    finally:
        answer.stop_receiving()
    raise exceptions.StreamInterrupted("the stream ended without its last event")


def _append_events(complete: bytes, answer: answers.Answer) -> TokenUsage | None:
    """Append complete events; return the tokens used if the last one is among them."""
    for block in complete.split(blocks.END_OF_BLOCK)[:-1]:
        head, _, payload = block.partition(b"\ndata: ")
        if head == b"event: done":
            return _final_usage(payload, answer)
        if head != b"id: %d" % answer.count:
            # A missing or repeated event would change the answer.
            raise exceptions.StreamInterrupted(f"event out of order: {head[:40]!r}")
        answer.append(payload)
    return None


def _final_usage(payload: bytes, answer: answers.Answer) -> TokenUsage:
    try:
        done: _DoneBody = decoding.decode_json(payload, _DoneBody)
    except exceptions.UndecodableText as error:
        raise exceptions.StreamInterrupted(str(error)) from error
    if done["count"] != answer.count:
        raise exceptions.StreamInterrupted(f"{answer.count} events of {done['count']}")
    return TokenUsage(done["prompt_tokens"], done["cached_tokens"], answer.count)
