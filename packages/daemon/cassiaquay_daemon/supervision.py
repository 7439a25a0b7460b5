"""Background tasks that are started again after an unexpected error.

Nothing else notices that a task has ended: the process goes on, says that it is ready,
and no longer reads its configuration, sends heartbeats or serves its queues.
"""

import asyncio
import collections.abc
import traceback

from . import clock, logs

# Other instances suspect one whose heartbeats are missing for some of their periods.
FIRST_PAUSE_SECONDS = 0.1
# Bounds the log lines of a task that fails each time.
MAX_PAUSE_SECONDS = 2.0
# After this time without an error, the next one counts as the first.
STEADY_SECONDS = 10.0
MAX_CAUSE_CHARACTERS = 200

Work = collections.abc.Callable[[], collections.abc.Coroutine[None, None, None]]


class Supervisor:
    """Runs background tasks until they are stopped."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, work: Work) -> None:
        """Run ``work``, and again after each error; it must bear to be run again."""
        self._tasks.append(asyncio.create_task(_run(name, work)))

    async def stop(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _run(name: str, work: Work) -> None:
    pause_seconds = FIRST_PAUSE_SECONDS
    while True:
        began_at = clock.now()
        try:
            await work()
            return
        except Exception as error:
            log_failure(name, error)
        if clock.now() - began_at >= STEADY_SECONDS:
            pause_seconds = FIRST_PAUSE_SECONDS
        await asyncio.sleep(pause_seconds)
        pause_seconds = min(2.0 * pause_seconds, MAX_PAUSE_SECONDS)


def log_failure(name: str, error: BaseException) -> None:
    """Log an error that nothing handles, with the place where it was raised."""
    place = ""
    for frame in traceback.extract_tb(error.__traceback__)[-1:]:
        place = f"{frame.name}:{frame.lineno}"
    logs.trouble(
        "task_failed",
        task=name,
        cause=repr(error)[:MAX_CAUSE_CHARACTERS],
        place=place or None,
    )
