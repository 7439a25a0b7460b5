"""Probes the paths to servers that may be unreachable from this instance."""

import asyncio

from .. import logs
from ..decisions import paths
from . import connections


class Prober:
    """Probes the doubted paths until they are back.

    Parameters
    ----------
    observed : Paths
        Decides which paths are probed when.
    dialer : Dialer
        Opens the connections.
    """

    def __init__(self, observed: paths.Paths, dialer: connections.Dialer):
        self._paths = observed
        self._dialer = dialer
        self._wake = asyncio.Event()
        self._probes: set[asyncio.Task[bool]] = set()
        observed.on_probe_due = self._wake.set

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                await self._wait_until_due()
                for address in self._paths.take_due():
                    self._start(address)
        finally:
            for task in self._probes:
                task.cancel()

    async def _wait_until_due(self) -> None:
        self._wake.clear()
        seconds = self._paths.seconds_to_probe()
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return

    def _start(self, address: str) -> None:
        task = asyncio.create_task(self._dialer.probe(address))
        self._probes.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[bool]) -> None:
        self._probes.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.trouble("probe_failed", cause=repr(task.exception()))
