"""Runs one case: a small deployment, its traffic, and the check of a rule."""

import asyncio
import collections.abc
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import traceback

from . import daemons, record, servers, store

HELD = 0
BROKEN = 1
NOT_RUN = 2
ADMIN_PORT = 9464
MAX_SECONDS = 110.0
# A run that serves less shows nothing.
MIN_SERVED_SHARE = 0.25


class Deployment:
    """A store, servers and instances on loopback addresses.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    recorded : Record
        Receives what was sent, answered and run.
    """

    def __init__(self, folder: pathlib.Path, recorded: record.Record):
        self.recorded = recorded
        self.platform = store.Store()
        self.instances: list[daemons.Instance] = []
        self._folder = folder
        self._platform_host = "127.0.0.1"

    async def start(
        self,
        configuration: collections.abc.Mapping[str, object],
        started: servers.Servers,
        count: int = 3,
    ) -> None:
        """Start everything; return once all instances are ready."""
        await self.platform.start(self._platform_host)
        await self.platform.put("op/config", configuration)
        for server in started:
            await server.start(self._platform_host, self.platform)
        for number in range(count):
            name = f"front-{number + 1}"
            self.instances.append(daemons.Instance(name, _free_host(), self._folder))
        for instance in self.instances:
            await self.start_instance(instance, True)
        await asyncio.gather(*(item.wait_until_ready() for item in self.instances))

    async def start_instance(
        self, instance: daemons.Instance, is_first: bool = False
    ) -> None:
        """Start the process of one instance."""
        seeds = [item.address("control") for item in self.instances[:3]]
        await instance.start(self.platform.address, seeds, is_first)
        self.recorded.note("started", instance=instance.name)

    async def end(self) -> None:
        """Kill all instances."""
        for instance in self.instances:
            await instance.end()


Case = collections.abc.Callable[
    [Deployment, bool], collections.abc.Coroutine[None, None, list[str]]
]


def run(file: str, case: Case) -> None:
    """Run a case and exit with its result.

    Parameters
    ----------
    file : str
        Path of the case; the record is written beside it.
    case : callable
        Takes the deployment and whether the disruption takes place; returns a line for
        each time that the rule was broken.
    """
    recorded = record.Record(pathlib.Path(file).with_name("record.txt"))
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    try:
        found = asyncio.run(_run(case, recorded, is_disrupted))
        served = sum(status == 200 for status in recorded.answers.values())
        if served < MIN_SERVED_SHARE * len(recorded.answers):
            raise RuntimeError(f"only {served} of {len(recorded.answers)} were served")
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        recorded.close("the case could not run")
        sys.exit(NOT_RUN)
    for line in found:
        recorded.note("broken", rule=line)
    verdict = f"broken {len(found)} times" if found else "held"
    recorded.close(verdict)
    print("\n".join(found[:10]))
    print(verdict, dict(recorded.counts))
    sys.exit(BROKEN if found else HELD)


async def _run(case: Case, recorded: record.Record, is_disrupted: bool) -> list[str]:
    with tempfile.TemporaryDirectory(prefix="cassiaquay-review-") as name:
        folder = pathlib.Path(os.environ.get("REVIEW_FOLDER", name))
        deployment = Deployment(folder, recorded)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                return await case(deployment, is_disrupted)
        finally:
            await deployment.end()


def _free_host() -> str:
    """Return a loopback address at which the port of the admin listener is free."""
    while True:
        parts = [str(random.randrange(2, 250)) for _ in range(3)]
        host = ".".join(["127", *parts])
        with socket.socket() as holder:
            try:
                holder.bind((host, ADMIN_PORT))
            except OSError:
                continue
        return host
