"""The daemon processes of a soak, each with the proxies around it."""

import asyncio
import collections.abc
import pathlib
import signal

from ..network import processes, proxies
from . import exchange, peer_proxies, records

GRACE_SECONDS = 4.0
# Module that runs a daemon.
LAUNCH = "cassiaquay_dev.soak.launch"
LISTENERS = ("front", "ready", "directory", "peer", "relay")


class Daemon:
    """One daemon process and the proxies around it."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: str,
        free: collections.abc.Iterator[int],
        source: str,
    ):
        self.name = name
        # IP address from which it connects to engines.
        self.source = source
        # Lists the engines that it is cut off from, while the file exists.
        self.control = folder / f"{name}.cut"
        self.control.unlink(missing_ok=True)
        self.start_count = 0
        self.expected_running = False
        self.addresses = {use: f"127.0.0.1:{next(free)}" for use in LISTENERS}
        self.front = proxies.Proxy(self.addresses["front"])
        self.peer = peer_proxies.PeerProxy(self.addresses["peer"])
        self.store = proxies.Proxy(store)
        # Faults overlap: one start or kill at a time.
        self._lock = asyncio.Lock()
        self.file = folder / f"{name}.toml"
        self._process = processes.Process(
            name,
            [
                "-m",
                LAUNCH,
                str(self.file),
                source,
                str(self.control),
            ],
            folder,
        )

    @property
    def proxies(self) -> list[proxies.Proxy]:
        """The proxies before its front and peer port, and to the store."""
        return [self.front, self.peer, self.store]

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.start_count > 0 and self._process.returncode is None

    async def start(self) -> None:
        """Start the process, unless it is running."""
        async with self._lock:
            if self.is_running:
                return
            await self._process.start()
            self.start_count += 1
            self.expected_running = True

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send(number)

    def send_if_handled(self, number: signal.Signals) -> None:
        """Send a signal if the process handles it.

        A process whose interpreter is still starting has no handler yet, and the
        signal would end it.
        """
        if self.is_running and _handles(self._process.pid, number):
            self._process.send(number)

    async def kill(self) -> None:
        """Kill the process."""
        async with self._lock:
            self.expected_running = False
            await self._process.kill()

    async def stop(self) -> None:
        """Send SIGTERM; kill the process after `GRACE_SECONDS`."""
        start_count = self.start_count
        self.expected_running = False
        self._process.send(signal.SIGTERM)
        end = records.now() + GRACE_SECONDS
        while self.is_running and records.now() < end:
            await asyncio.sleep(0.05)
            if self.start_count != start_count:
                # Another fault has killed and restarted the process meanwhile.
                return
        await self.kill()

    def read_memory_peak(self) -> int:
        """Return the most bytes of memory that the process has used; 0 if it ended."""
        text = _read_status(self._process.pid).get("VmHWM", "0 kB")
        return int(text.split()[0]) * 1024

    async def is_ready(self) -> bool:
        """Return whether the daemon's readiness endpoint answers 200."""
        found = await exchange.get(self.addresses["ready"], "/cassiaquay/ready", 1.0)
        return found is not None and found.status == 200


def _handles(pid: int, number: signal.Signals) -> bool:
    """Return whether a process catches or ignores a signal."""
    status = _read_status(pid)
    handled = 0
    for name in ("SigIgn", "SigCgt"):
        handled |= int(status.get(name, "0"), 16)
    return bool(handled >> (number - 1) & 1)


def _read_status(pid: int) -> dict[str, str]:
    """Return the kernel status of a process; nothing if it has ended."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return {}
    return {name: text.strip() for name, _, text in (x.partition(":") for x in lines)}
