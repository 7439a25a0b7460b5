"""Mechanisms of admission that the lab can switch off, each by its name.

What is worth nothing on any load is removed, with its constants and tests; this is how
it is found. A mechanism is switched off as the daemon's code would be without it.
"""

import collections.abc
import contextlib
import math
import typing

from cassiaquay_daemon.decisions import forecasts, objectives, reservations
from cassiaquay_daemon.keepers import keeper, spillover
from cassiaquay_schema import registry

Without = collections.abc.Callable[[], contextlib.AbstractContextManager[None]]
mechanisms: registry.Registry[Without] = registry.Registry("mechanism")


@contextlib.contextmanager
def switched_off(names: collections.abc.Iterable[str]) -> typing.Iterator[None]:
    """Switch some mechanisms off for a while."""
    with contextlib.ExitStack() as stack:
        for name in names:
            stack.enter_context(mechanisms.get(name)())
        yield


@contextlib.contextmanager
def _replaced(owner: object, name: str, value: object) -> typing.Iterator[None]:
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


@mechanisms.register("kept-slots")
def _kept_slots() -> contextlib.AbstractContextManager[None]:
    """Keep no slot for a request that was shed."""
    return _replaced(reservations.Reservations, "above", lambda self, rank, now: 0)


@mechanisms.register("moves")
def _moves() -> contextlib.AbstractContextManager[None]:
    """Send no demand to another shard."""
    return _replaced(
        spillover.SpillOver, "move", lambda self, source, waiting, limit: ""
    )


@mechanisms.register("overrun")
def _overrun() -> contextlib.AbstractContextManager[None]:
    """Take an answer past its estimate for one that ends now."""
    return _replaced(forecasts, "OVERRUN_SHARE", 0.0)


@mechanisms.register("longest-at-once")
def _longest_at_once() -> contextlib.AbstractContextManager[None]:
    """Let the longest answers wait as others do."""
    return _replaced(
        objectives.Objectives, "_is_too_long", lambda self, waiting, now: 0
    )


@mechanisms.register("long-prompts-wait")
def _long_prompts_wait() -> contextlib.AbstractContextManager[None]:
    """Refuse long prompts as short ones, but for those that can never be in time."""
    return _replaced(objectives, "LONG_SHARE", 1.0)


@mechanisms.register("pause-guard")
def _pause_guard() -> contextlib.AbstractContextManager[None]:
    """Place prompts regardless of the streams that they stop."""
    return _replaced(objectives, "PAUSE_SHARE", math.inf)


@mechanisms.register("finish-guard")
def _finish_guard() -> contextlib.AbstractContextManager[None]:
    """Place answers regardless of whether they can end."""
    return _replaced(objectives, "FINISH_SHARE", math.inf)


@mechanisms.register("return-later")
def _return_later() -> contextlib.AbstractContextManager[None]:
    """Tell refused callers to be back as soon as may be."""
    return _replaced(objectives, "RETRY_AFTER_SHARE", 0.0)


@mechanisms.register("early-shards")
def _early_shards() -> contextlib.AbstractContextManager[None]:
    """Open a shard at its first demand only."""
    return _replaced(keeper.Keeper, "_open_early", lambda self: None)
