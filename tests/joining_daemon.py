"""A daemon that lets streams go on at servers of any software version."""

import sys

from cassiaquay_daemon.gateway import progress, resuming
from cassiaquay_dev.soak import launch


async def _resolve(self: resuming.Resuming, state: progress.RequestState) -> None:
    """Set no version, as if each list were current and had one version only."""


if __name__ == "__main__":
    setattr(resuming.Resuming, "resolve", _resolve)  # noqa: B010
    launch.run(*sys.argv[1:4])
