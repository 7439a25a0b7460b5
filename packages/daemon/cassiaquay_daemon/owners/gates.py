"""Gates, which a request passes before it demands capacity: dependencies, limits."""

import collections.abc
import contextlib
import typing

from ..keepers import limits
from . import dependencies, requests


class Gate(typing.Protocol):
    """Checks a request before it demands capacity."""

    def hold(
        self, accepted: requests.Accepted
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Let a request through while it runs; raise a Refusal otherwise."""


class OpenGate:
    """Lets every request through."""

    @contextlib.asynccontextmanager
    async def hold(
        self, accepted: requests.Accepted
    ) -> collections.abc.AsyncIterator[None]:
        """Let a request through."""
        yield


OPEN_GATE = OpenGate()


class CheckedGate:
    """Checks dependencies, then limits.

    Parameters
    ----------
    depending : Dependencies
        Health of the services that other services depend on.
    limited : Limits
        Limits of teams and services.
    """

    def __init__(self, depending: dependencies.Dependencies, limited: limits.Limits):
        self._dependencies = depending
        self._limits = limited

    @contextlib.asynccontextmanager
    async def hold(
        self, accepted: requests.Accepted
    ) -> collections.abc.AsyncIterator[None]:
        """Let a request through while it runs; raise a Refusal otherwise."""
        # Dependencies first: a request refused for them must not use up a permit.
        self._dependencies.check(accepted.service, accepted.rank, accepted.snapshot)
        async with self._limits.hold(accepted.team, accepted.service, accepted.rank):
            yield
