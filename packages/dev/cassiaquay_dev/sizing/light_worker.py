"""A process with many light instances, led by :mod:`measure_fleet` over its pipes.

Each line of standard input is a JSON command; each answer is one JSON line.
"""

import asyncio
import json
import logging
import resource
import sys
import time
import typing

import msgspec
import uvloop

from cassiaquay_daemon import platform
from cassiaquay_schema import settings as settings_schema

from . import light

Command = dict[str, typing.Any]


class Worker:
    """The instances of one process."""

    def __init__(self) -> None:
        self._published = light.Published()
        self._listing = light.Listing()
        self._lives: dict[str, light.Light] = {}

    async def add(self, command: Command) -> object:
        """Start instances; answer with their lines of the instance list."""
        for name in command["names"]:
            number = int(name.rpartition("-")[2])
            settings = _settings(name, f"domain-{number % 7}", command["neighbours"])
            one = light.Light(settings, self._published, self._listing)
            one.membership.http_address = f"{name}:80"
            self._lives[name] = one
            await one.peers.start()
            one.enlist()
        return [self._listing.lines[name] for name in command["names"]]

    async def begin(self, command: Command) -> object:
        """Let all instances begin, with the whole list and a text."""
        for line in command["lines"]:
            self._listing.lines[line[0]] = platform.ListedInstance(*line)
        self._published.publish(1, command["text"])
        for one in self._lives.values():
            one.begin()
        return None

    async def publish(self, command: Command) -> object:
        """Publish a text."""
        self._published.publish(command["revision"], command["text"])
        return None

    async def kill(self, command: Command) -> object:
        """End one instance without a farewell."""
        await self._lives.pop(command["name"]).stop()
        return None

    async def state(self, command: Command) -> object:
        """Answer with what the instances see and have used so far."""
        views = [len(one.view) for one in self._lives.values()]
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "smallest_view": min(views),
            "largest_view": max(views),
            "revision": min(x.configuration.revision for x in self._lives.values()),
            "cpu": time.process_time(),
            "peak_kib": usage.ru_maxrss,
            "bytes": sum(one.peers.sent_bytes for one in self._lives.values()),
            "calls": self._published.calls,
            "pauses": sum(one.pauses.count for one in self._lives.values()),
        }

    async def run(self) -> None:
        """Obey until the input ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=8 * 1024 * 1024)
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            command = json.loads(line)
            answer = await getattr(self, command["do"])(command)
            print(json.dumps(answer), flush=True)
        await asyncio.gather(*(one.stop() for one in self._lives.values()))


def _settings(name: str, domain: str, neighbours: int) -> settings_schema.Settings:
    found = light.settings_of(name, domain, neighbours=neighbours)
    chosen = settings_schema.Platform(
        configuration="", instances="", instances_period=2.0
    )
    return msgspec.structs.replace(found, platform=chosen)


def main() -> None:
    """Run one worker."""
    logging.getLogger("cassiaquay").setLevel(logging.CRITICAL)
    uvloop.run(Worker().run())


if __name__ == "__main__":
    main()
