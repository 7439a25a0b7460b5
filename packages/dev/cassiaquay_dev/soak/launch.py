"""Run a daemon with faults that only its own process can make.

Its wall clock jumps when the process receives SIGUSR1. On real machines the wall clock
is stepped by seconds, forward and back. The monotonic clock is not shifted.

Its connections come from an address of its own, by which proxies know it, and those to
the servers in a control file are refused or hang.
"""

import importlib
import json
import pathlib
import signal
import socket
import sys
import time
import types
import typing

from ..network import cuts

JUMP_SECONDS = 7.0


class Clock:
    """The wall clock plus an offset that SIGUSR1 sets and resets."""

    def __init__(self) -> None:
        self._offset = 0.0
        self._unshifted_time = time.time

    def now(self) -> float:
        """Return the shifted wall clock time."""
        return self._unshifted_time() + self._offset

    def jump(self, number: int, frame: types.FrameType | None) -> None:
        """Handle the signal: set the offset, or reset it to 0."""
        self._offset = 0.0 if self._offset else JUMP_SECONDS


class Sockets:
    """Creates the sockets of outgoing connections.

    Parameters
    ----------
    usual : callable
        Creates a socket for an address.
    source : str
        Address that connections come from.
    control : Path
        File with the servers that are cut off; see :func:`write_cut`.
    """

    def __init__(self, usual: cuts.Create, source: str, control: pathlib.Path):
        self._usual = usual
        self._source = source
        self._control = control

    def create(self, info: tuple[typing.Any, ...]) -> socket.socket:
        """Return a socket for an address."""
        if not self._control.exists():
            return self._create_bound(info)
        mode, servers, hole = json.loads(self._control.read_text())
        cut = cuts.Cut(mode, servers, tuple(hole))
        return cuts.create(info, cut, self._create_bound)

    def _create_bound(self, info: tuple[typing.Any, ...]) -> socket.socket:
        created = self._usual(info)
        created.bind((self._source, 0))
        return created


def write_cut(control: pathlib.Path, cut: cuts.Cut) -> None:
    """Cut the process with this control file off from servers."""
    partial = control.with_suffix(".partial")
    partial.write_text(json.dumps(cut))
    partial.replace(control)


def run(settings: str, source: str, control: str) -> None:
    """Replace the wall clock and the sockets' factory, and run the daemon."""
    clock = Clock()
    sockets = importlib.import_module("cassiaquay_daemon.sockets")
    made = Sockets(sockets.create, source, pathlib.Path(control))
    setattr(sockets, "create", made.create)  # noqa: B010
    setattr(time, "time", clock.now)  # noqa: B010
    signal.signal(signal.SIGUSR1, clock.jump)
    sys.argv[1:] = ["--settings", settings]
    importlib.import_module("cassiaquay_daemon.main").run()


if __name__ == "__main__":
    run(*sys.argv[1:4])
