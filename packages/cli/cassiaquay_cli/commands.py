"""The registry of commands; each module of a command fills it."""

import asyncio
import collections.abc

import aiohttp

from cassiaquay_schema import registry

from . import clients, outputs

Command = collections.abc.Callable[..., outputs.Shown]
Work = collections.abc.Callable[
    [clients.Client], collections.abc.Awaitable[outputs.Output]
]

commands: registry.Registry[Command] = registry.Registry("command")


def run(at: str, work: Work) -> outputs.Output:
    """Return what ``work`` finds with a client that begins at ``at``."""

    async def inside() -> outputs.Output:
        async with aiohttp.ClientSession() as http:
            client = clients.Client(str(at), http)
            await client.begin()
            return await work(client)

    return asyncio.run(inside())
