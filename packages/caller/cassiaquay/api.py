"""Single requests without a session.

Each function opens a session, sends one request and closes the session. A program
that sends several requests should use a ``Session``, which reuses addresses and
connections.
"""

import typing

from . import models, sessions


async def ask(
    settings: models.Settings, service: str, prompt: str, **options: typing.Any
) -> models.Answer:
    """Return the whole answer of a model engine; takes the options of ``Session.ask``.

    >>> answer = await cassiaquay.ask(settings, "tutor-assist", "What is a prime?")
    """
    async with sessions.Session(settings) as session:
        return await session.ask(service, prompt, **options)


async def call(
    settings: models.Settings,
    service: str,
    path: str,
    payload: typing.Any = None,
    **options: typing.Any,
) -> models.Answer:
    """Return the answer of a plain service; takes the options of ``Session.call``.

    >>> await cassiaquay.call(settings, "bookings-app", "/times", {"day": 3})
    """
    async with sessions.Session(settings) as session:
        return await session.call(service, path, payload, **options)


async def outcome(settings: models.Settings, request_id: str) -> models.Outcome:
    """Return the outcome of a request."""
    async with sessions.Session(settings) as session:
        return await session.outcome(request_id)


async def cancel(settings: models.Settings, request_id: str) -> models.Outcome:
    """Cancel a request and return its outcome."""
    async with sessions.Session(settings) as session:
        return await session.cancel(request_id)
