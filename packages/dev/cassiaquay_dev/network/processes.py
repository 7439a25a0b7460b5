"""Child processes of a test or an experiment, with their output and signals."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import typing

from . import process_state

START_SECONDS = 20.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.02


class StartError(RuntimeError):
    """A process did not become ready."""


class Process:
    """One child process whose output goes to a file.

    Parameters
    ----------
    name : str
        Used in messages and as the name of the output file.
    arguments : list of str
        Arguments of the Python interpreter.
    folder : Path
        Directory of the output file.
    """

    def __init__(self, name: str, arguments: list[str], folder: pathlib.Path):
        self.name = name
        self.path = folder / f"{name}.log"
        self._arguments = arguments
        self._child: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        if self._child is None:
            raise StartError(f"{self.name} was not started")
        return self._child.pid

    @property
    def returncode(self) -> int | None:
        """Exit status; None while the process runs or before it is started."""
        return self._child.returncode if self._child else None

    def lines(self) -> list[str]:
        """Return the lines that the process has written so far."""
        return self.path.read_text().splitlines() if self.path.exists() else []

    async def start(self) -> None:
        """Start the process."""
        with self.path.open("ab") as output:
            self._child = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                stdout=output,
                stderr=output,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )

    async def wait_for(self, found: typing.Callable[[list[str]], bool]) -> None:
        """Wait until the output satisfies ``found``.

        Raises
        ------
        StartError
            If the process ends, or does not satisfy it within `START_SECONDS`.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + START_SECONDS
        while not found(self.lines()):
            if self.returncode is not None or loop.time() > end:
                text = "\n".join(self.lines()[-20:])
                state = process_state.describe(self.pid)
                raise StartError(f"{self.name} did not become ready, {state}:\n{text}")
            await asyncio.sleep(POLL_SECONDS)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.returncode is not None:
            return
        # It may have been reaped, and its status not been read yet.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)

    async def stop(self) -> int:
        """Send SIGTERM, then SIGKILL after `STOP_SECONDS`; return the exit status."""
        if self._child is None:
            return 0
        self.send(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._child.wait(), STOP_SECONDS)
        except TimeoutError:
            self.send(signal.SIGKILL)
            return await self._child.wait()

    async def kill(self) -> None:
        """Send SIGKILL and wait for the process to end."""
        if self._child is None:
            return
        self.send(signal.SIGKILL)
        await self._child.wait()
