"""Reads bodies of callers' requests within limits of size and time."""

import asyncio

from starlette import requests as web_requests

from cassiaquay_schema import settings as settings_schema

from .. import exceptions

MAX_HEADER_BYTES = 16384
JSON_TYPE = "application/json"


async def read(request: web_requests.Request, settings: settings_schema.Owner) -> bytes:
    """Return the body; raise a coded refusal for one that is not acceptable.

    The complete body must arrive within ``settings.body_seconds``; otherwise a caller
    that sends single bytes would occupy memory and a connection indefinitely.
    """
    _check_headers(request)
    try:
        async with asyncio.timeout(settings.body_seconds):
            body = await _read(request, settings.max_body_bytes)
    except TimeoutError as error:
        raise exceptions.BodyTimeout() from error
    except web_requests.ClientDisconnect as error:
        raise exceptions.BodyTimeout("the caller left before the body ended") from error
    if body and _content_type(request) != JSON_TYPE:
        raise exceptions.UnsupportedContentType()
    return body


def _check_headers(request: web_requests.Request) -> None:
    size = len(request.scope["path"]) + len(request.scope["query_string"])
    for name, value in request.scope["headers"]:
        size += len(name) + len(value)
    if size > MAX_HEADER_BYTES:
        raise exceptions.HeadersTooLarge(f"more than {MAX_HEADER_BYTES} bytes")


def _content_type(request: web_requests.Request) -> str:
    return request.headers.get("content-type", "").partition(";")[0].strip().lower()


async def _read(request: web_requests.Request, limit: int) -> bytes:
    declared = request.headers.get("content-length", "0")
    if declared.isdecimal() and int(declared) > limit:
        raise exceptions.TooLarge(f"more than {limit} bytes")
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > limit:
            raise exceptions.TooLarge(f"more than {limit} bytes")
        parts.append(part)
    return b"".join(parts)
