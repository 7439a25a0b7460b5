"""A value that each server reports in its answers, merged from all instances.

Load pattern: the value holds for the whole fleet, each answer is seen by one instance,
and answers of different instances arrive in any order.

Each change of a server's value gets the next version. An answer changes the value if
its request was sent after this instance learned of the current version; otherwise the
answer may be older, and it can only make the value stricter. Lower values are stricter,
none is the least strict. Instances exchange the values, and the higher version wins.
"""

import math
import typing

import xxhash

from .. import clock

# Smaller changes of a value are not worth a message to all instances.
MIN_CHANGE_SHARE = 0.02


class Value(typing.NamedTuple):
    """What a server reports.

    Attributes
    ----------
    version : int
        Number of changes of this server's value.
    number : float or None
        The value; None once it has ended.
    """

    version: int
    number: float | None


NO_VALUE = Value(0, None)


class ReportedValues:
    """The values that are known to this instance, by server."""

    def __init__(self) -> None:
        self._values: dict[str, Value] = {}
        self._changed_at: dict[str, float] = {}
        self._listed: frozenset[str] | None = None
        self._digest: int | None = 0

    @property
    def digest(self) -> int:
        """Digest of all values, ended ones included; 0 when there are none."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def current(self, server: str) -> Value:
        """Return a server's value; ``NO_VALUE`` if it has never reported one."""
        return self._values.get(server, NO_VALUE)

    def holds(self, server: str) -> bool:
        """Return whether the server's value is in force."""
        return self.current(server).number is not None

    def seconds_held(self, server: str) -> float:
        """Return for how long the server's value has been in force."""
        if not self.holds(server):
            return 0.0
        return clock.now() - self._changed_at[server]

    def holding_servers(self) -> list[str]:
        """Return the names of the servers whose values are in force."""
        return sorted(name for name in self._values if self.holds(name))

    def entries(self) -> dict[str, Value]:
        """Return all values by server, ended ones included."""
        return dict(self._values)

    def answered(self, server: str, sent_version: int, number: float | None) -> bool:
        """Take in an answer of a server; return whether it changes the value.

        Parameters
        ----------
        server : str
            Backend server.
        sent_version : int
            Version of its value when the request was sent.
        number : float or None
            The value in the answer; None for none.
        """
        current = self.current(server)
        if _is_same(number, current.number):
            return False
        is_newer = sent_version >= current.version
        if not is_newer and not _is_stricter(number, current.number):
            return False
        return self._set(server, Value(current.version + 1, number))

    def learn(self, server: str, value: Value) -> bool:
        """Merge another instance's value; return whether it changes this one's."""
        current = self.current(server)
        if value.version < current.version:
            return False
        if value.version == current.version:
            # Two instances saw different answers at the same time.
            if not _is_stricter(value.number, current.number):
                return False
        return self._set(server, value)

    def retain(self, listed: frozenset[str]) -> None:
        """Forget all servers that are not in the list, now and in later reports.

        An empty list does nothing: an instance that has just started has no list yet,
        and the values that it receives meanwhile are to be kept.
        """
        if not listed:
            return
        self._listed = listed
        for server in [server for server in self._values if server not in listed]:
            del self._values[server]
            del self._changed_at[server]
            self._forget(server)
            self._digest = None

    def _change(self, server: str, before: Value, after: Value) -> None:
        """Handle the change of a server's value; for subclasses."""

    def _forget(self, server: str) -> None:
        """Handle a server that is not listed any more; for subclasses."""

    def _set(self, server: str, value: Value) -> bool:
        if self._listed is not None and server not in self._listed:
            return False
        before = self.current(server)
        self._change(server, before, value)
        if (value.number is None) != (before.number is None) or not before.version:
            self._changed_at[server] = clock.now()
        self._values[server] = value
        self._digest = None
        return True

    def _compute_digest(self) -> int:
        if not self._values:
            return 0
        return xxhash.xxh3_64_intdigest(repr(sorted(self._values.items())).encode())


def _is_same(number: float | None, other: float | None) -> bool:
    if number is None or other is None:
        return number is other
    return math.isclose(number, other, rel_tol=MIN_CHANGE_SHARE)


def _is_stricter(number: float | None, other: float | None) -> bool:
    if number is None:
        return False
    return other is None or number < other
