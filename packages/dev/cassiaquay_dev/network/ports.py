"""Ports for servers that must be able to bind them again after a restart.

A port on which nothing listens for a moment looks free to other processes. Each process
therefore takes its ports from blocks that it alone has claimed.
"""

import collections
import collections.abc
import random
import socket

HOST = "127.0.0.1"
# Below the kernel's ephemeral port range: an outgoing connection could take a port of
# that range while its server is down.
PORT_RANGE = (10_000, 32_000)
BLOCK_SIZE = 250
# Blocks that a process keeps; ports of older ones may go to other processes.
MAX_BLOCKS = 4


class NoFreePort(OSError):
    """Other processes have claimed all blocks of ports."""


class _Block:
    """A block of ports, claimed by binding its first one without listening.

    Parameters
    ----------
    first : int
        First port of the block.

    Raises
    ------
    OSError
        If another process has claimed it.
    """

    def __init__(self, first: int):
        self.ports = range(first + 1, first + BLOCK_SIZE)
        self._claim = socket.socket()
        try:
            self._claim.bind((HOST, first))
        except OSError:
            self._claim.close()
            raise

    def release(self) -> None:
        """Let other processes claim the block."""
        self._claim.close()


def free_ports() -> collections.abc.Iterator[int]:
    """Yield ports without a listener from blocks that this process has claimed."""
    blocks: collections.deque[_Block] = collections.deque()
    while True:
        if len(blocks) == MAX_BLOCKS:
            blocks.popleft().release()
        blocks.append(_claim_block())
        for port in blocks[-1].ports:
            try:
                with socket.create_server((HOST, port)):
                    pass
            except OSError:
                continue
            yield port


def _claim_block() -> _Block:
    """Claim a block at random; raise NoFreePort if there is none."""
    firsts = range(PORT_RANGE[0], PORT_RANGE[1] - BLOCK_SIZE + 1, BLOCK_SIZE)
    for first in random.SystemRandom().sample(firsts, len(firsts)):
        try:
            return _Block(first)
        except OSError:
            continue
    raise NoFreePort(f"no block of {BLOCK_SIZE} ports in {PORT_RANGE} is free")


_unused = free_ports()


def free_port() -> int:
    """Return a port of this process without a listener, none of its latest ones."""
    return next(_unused)
