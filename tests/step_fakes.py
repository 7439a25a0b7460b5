"""Instances that are cut off from the store or from the others, within one process."""

import typing

import gateway_fakes as fakes

from cassiaquay_daemon import daemon, exceptions

# As if instances and their lists had been in touch for this long.
IN_TOUCH_SECONDS = 60.0


class _SilentLink:
    """A link that takes messages and delivers none."""

    instance = ""

    def send(self, message: object) -> bool:
        """Drop a message."""
        return True


class Cut:
    """Cuts one daemon of a site off.

    Parameters
    ----------
    made : Daemon
        The daemon.
    """

    def __init__(self, made: daemon.Daemon):
        self._made = made
        self._links = made._membership._links
        self._handlers = dict(self._links._handlers)
        self._link = self._links.link
        self._stores = [made._servers._store, made._servers._texts]
        self._gets: list[typing.Any] = [item._store._get for item in self._stores]

    def from_others(self) -> None:
        """Drop all messages from and to other instances."""
        self._links.link = lambda instance, address: _SilentLink()
        for kind in self._handlers:
            self._links._handlers[kind] = lambda link, message: None

    def from_store(self) -> None:
        """Let all reads of the store fail."""
        for item in self._stores:
            item._store._get = _fail

    def heal(self) -> None:
        """End all cuts."""
        self._links.link = self._link
        self._links._handlers.update(self._handlers)
        for item, get in zip(self._stores, self._gets, strict=True):
            item._store._get = get


async def _fail(*args: object) -> typing.NoReturn:
    raise exceptions.PlatformError("cut off")


def age(site: fakes.Site) -> None:
    """Let all daemons have been in touch for ``IN_TOUCH_SECONDS``."""
    for made in site.daemons:
        history = made._gateway._parts.resuming._history
        for service in history._observed_since:
            history._observed_since[service] -= IN_TOUCH_SECONDS
            # Servers had no version before the test gave them one.
            history._listed_at[service].pop("", None)
        made._servers._outages._steady_since -= IN_TOUCH_SECONDS
