"""Admission mechanisms that the lab can disable by name, to measure their effect.

A mechanism that has no effect on any load should be removed together with its constants
and tests. Disabling patches the daemon's code so that it runs as if the mechanism did
not exist.
"""

import collections.abc
import contextlib
import math
import typing

from cassiaquay_daemon.decisions import (
    forecasts,
    objectives,
    reservations,
    returns,
    weighing,
)
from cassiaquay_daemon.keepers import keeper, spillover
from cassiaquay_schema import registry

from . import instances

SwitchOff = collections.abc.Callable[[], contextlib.AbstractContextManager[None]]
mechanisms: registry.Registry[SwitchOff] = registry.Registry("mechanism")


@contextlib.contextmanager
def switched_off(names: collections.abc.Iterable[str]) -> typing.Iterator[None]:
    """Disable the named mechanisms within the context."""
    with contextlib.ExitStack() as stack:
        for name in names:
            stack.enter_context(mechanisms.get(name)())
        yield


@contextlib.contextmanager
def _patched(owner: object, name: str, value: object) -> typing.Iterator[None]:
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


@mechanisms.register("kept-slots")
def _kept_slots() -> contextlib.AbstractContextManager[None]:
    """Reserve no slots for the return of shed requests."""
    return _patched(reservations.Reservations, "above", lambda self, rank, now: 0)


@mechanisms.register("moves")
def _moves() -> contextlib.AbstractContextManager[None]:
    """Move no waiting demand to another shard."""
    return _patched(
        spillover.SpillOver, "move", lambda self, source, waiting, limit: ""
    )


@mechanisms.register("pool-shares")
def _pool_shares() -> contextlib.AbstractContextManager[None]:
    """Order the teams of a rank by the work that they got in one shard."""
    return _patched(instances, "TEAM_SHARES", "shard")


@mechanisms.register("overrun")
def _overrun() -> contextlib.AbstractContextManager[None]:
    """Assume that an answer longer than its estimate ends immediately."""
    return _patched(forecasts, "OVERRUN_SHARE", 0.0)


@mechanisms.register("longest-at-once")
def _longest_at_once() -> contextlib.AbstractContextManager[None]:
    """Queue the longest answers like all others instead of placing them at once."""
    return _patched(weighing.Weighing, "is_too_long", lambda self, waiting, now: False)


@mechanisms.register("long-prompts-wait")
def _long_prompts_wait() -> contextlib.AbstractContextManager[None]:
    """Refuse long prompts like short ones, except those that can never be in time."""
    return _patched(objectives, "LONG_SHARE", 1.0)


@mechanisms.register("pause-guard")
def _pause_guard() -> contextlib.AbstractContextManager[None]:
    """Place prompts regardless of the pauses that they cause in running streams."""
    return _patched(weighing, "PAUSE_SHARE", math.inf)


@mechanisms.register("finish-guard")
def _finish_guard() -> contextlib.AbstractContextManager[None]:
    """Place requests regardless of whether they can finish by their deadline."""
    return _patched(weighing, "FINISH_SHARE", math.inf)


@mechanisms.register("return-later")
def _return_later() -> contextlib.AbstractContextManager[None]:
    """Set Retry-After of refusals to the shortest permitted time."""
    return _patched(returns, "RETRY_AFTER_SHARE", 0.0)


@mechanisms.register("early-shards")
def _early_shards() -> contextlib.AbstractContextManager[None]:
    """Open a shard only when its first demand arrives."""
    return _patched(keeper.Keeper, "_open_early", lambda self: None)


@mechanisms.register("recognized-returns")
def _recognized_returns() -> contextlib.AbstractContextManager[None]:
    """Treat retries of refused callers like new requests."""
    return _patched(instances, "RETURNS", returns.SHARE)
