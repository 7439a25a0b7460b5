"""A forwarding process: ``python -m cassiaquay_dev.network.forwarding HOST:PORT``.

It makes a server that lives in another process one that a signal can stop: the kernel
accepts connections meanwhile, and everything arrives when the signal wakes it.
"""

import asyncio
import ctypes
import os
import pathlib
import signal
import sys

import uvloop

from . import processes, proxies

READY = "ready address="
# Option of prctl: the signal that a process gets when its parent ends.
PARENT_DEATH_SIGNAL_OPTION = 1


class Forwarder(processes.Process):
    """The process before one server, and its signals.

    Parameters
    ----------
    name : str
        Name of the server.
    target : str
        host:port of the server.
    folder : Path
        Directory of the output file.
    """

    def __init__(self, name: str, target: str, folder: pathlib.Path):
        arguments = ["-m", "cassiaquay_dev.network.forwarding", target]
        super().__init__(f"forwarder-{name}", [*arguments, str(os.getpid())], folder)
        self.address = ""
        self.is_paused = False

    async def start(self) -> None:
        """Start the process, wait until it listens and set ``address``."""
        self.path.unlink(missing_ok=True)
        await super().start()
        await self.wait_for(lambda lines: any(READY in line for line in lines))
        self.address = self.lines()[-1].partition("=")[2]

    def pause(self) -> None:
        """Stop the process with SIGSTOP until `resume`."""
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let the process continue."""
        self.is_paused = False
        self.send(signal.SIGCONT)

    async def kill(self) -> None:
        """Let the process continue, send SIGKILL and wait for it to end."""
        if self.is_paused:
            self.resume()
        await super().kill()


async def _forward(target: str) -> None:
    proxy = proxies.Proxy(target)
    await proxy.start()
    print(f"{READY}{proxy.address}", flush=True)
    await asyncio.Event().wait()


def run(target: str, parent: int) -> None:
    """Forward connections until a signal ends the process, or its parent's end."""
    # A process that is stopped cannot notice the end of its parent by itself.
    ctypes.CDLL(None).prctl(PARENT_DEATH_SIGNAL_OPTION, signal.SIGKILL)
    # The kernel ends stopped processes whose process group loses the shell above it.
    os.setsid()
    if os.getppid() == parent:
        uvloop.run(_forward(target))


if __name__ == "__main__":
    run(sys.argv[1], int(sys.argv[2]))
