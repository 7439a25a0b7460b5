"""Registry of commands; each command's module registers itself on import."""

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
    """Run ``work`` with a client that starts at ``at`` and return its output."""

    async def run_work() -> outputs.Output:
        async with aiohttp.ClientSession() as http:
            client = clients.Client(str(at), http)
            await client.select_address()
            return await work(client)

    return asyncio.run(run_work())
