"""Worker process with many light instances, controlled by :mod:`measure_fleet`.

Each line of standard input is a JSON command whose ``do`` field names the method to
call. The worker writes each result to standard output as one line of JSON.
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
    """Runs the light instances of one process."""

    def __init__(self) -> None:
        self._published = light.Published()
        self._listing = light.Listing()
        self._instances: dict[str, light.Light] = {}

    async def add(self, command: Command) -> object:
        """Start peer listeners; return the instances' entries of the instance list."""
        for name in command["names"]:
            number = int(name.rpartition("-")[2])
            settings = _settings(name, f"domain-{number % 7}", command["neighbours"])
            instance = light.Light(settings, self._published, self._listing)
            instance.membership.http_address = f"{name}:80"
            self._instances[name] = instance
            await instance.peers.start()
            instance.enlist()
        return [self._listing.lines[name] for name in command["names"]]

    async def begin(self, command: Command) -> object:
        """Start all instances with the full instance list and a first fleet text."""
        for line in command["lines"]:
            self._listing.lines[line[0]] = platform.ListedInstance(*line)
        self._published.publish(1, command["text"])
        for instance in self._instances.values():
            instance.begin()
        return None

    async def publish(self, command: Command) -> object:
        """Publish a fleet text to the instances of this process."""
        self._published.publish(command["revision"], command["text"])
        return None

    async def kill(self, command: Command) -> object:
        """Stop one instance without announcing its departure."""
        await self._instances.pop(command["name"]).stop()
        return None

    async def state(self, command: Command) -> object:
        """Return the instances' views and revisions and the resources used so far."""
        views = [len(instance.view) for instance in self._instances.values()]
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "smallest_view": min(views),
            "largest_view": max(views),
            "revision": min(x.configuration.revision for x in self._instances.values()),
            "cpu": time.process_time(),
            "peak_kib": usage.ru_maxrss,
            "bytes": sum(
                instance.peers.sent_bytes for instance in self._instances.values()
            ),
            "calls": self._published.calls,
            "pauses": sum(
                instance.pauses.count for instance in self._instances.values()
            ),
        }

    async def run(self) -> None:
        """Execute commands until standard input closes, then stop all instances."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=8 * 1024 * 1024)
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            command = json.loads(line)
            answer = await getattr(self, command["do"])(command)
            print(json.dumps(answer), flush=True)
        await asyncio.gather(
            *(instance.stop() for instance in self._instances.values())
        )


def _settings(name: str, domain: str, neighbours: int) -> settings_schema.Settings:
    settings = light.settings_of(name, domain, neighbours=neighbours)
    platform_settings = settings_schema.Platform(
        configuration="", instances="", instances_period=2.0
    )
    return msgspec.structs.replace(settings, platform=platform_settings)


def main() -> None:
    """Run one worker process."""
    logging.getLogger("cassiaquay").setLevel(logging.CRITICAL)
    uvloop.run(Worker().run())


if __name__ == "__main__":
    main()
