"""Single requests without a session of one's own.

Each function opens a session, makes one request and closes it; programs that
make several keep a ``Session``, which also keeps addresses and connections.
"""

import typing

from . import models, sessions


async def ask(
    settings: models.Settings, service: str, prompt: str, **options: typing.Any
) -> models.Answer:
    """Return the whole answer of a model engine; options as ``Session.ask``.

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
    """Return the whole answer of a plain service; options as ``Session.call``.

    >>> await cassiaquay.call(settings, "bookings-app", "/times", {"day": 3})
    """
    async with sessions.Session(settings) as session:
        return await session.call(service, path, payload, **options)


async def outcome(settings: models.Settings, request_id: str) -> models.Outcome:
    """Return what became of a request."""
    async with sessions.Session(settings) as session:
        return await session.outcome(request_id)


async def cancel(settings: models.Settings, request_id: str) -> models.Outcome:
    """Give a request up and return its outcome."""
    async with sessions.Session(settings) as session:
        return await session.cancel(request_id)
