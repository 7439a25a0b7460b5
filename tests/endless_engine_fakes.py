"""Backend servers that answer without end, with sound ones beside them.

The target of a request is ``/<route>/<attempts>/<kind>/...``.
"""

import collections.abc

import gateway_fakes as fakes
import silence_fakes

from cassiaquay_dev.standins import endless, platform_standins, raw_servers

PLAIN_KINDS = (
    "body",
    "small_chunks",
    "length",
    "unframed",
    "failure",
    "failure_unframed",
)
STREAM_KINDS = (
    "event",
    "comments",
    "comment_lines",
    "blank_events",
    "failure",
    "failure_unframed",
)


def targets(
    routes: tuple[str, str], count: int, attempts: int = 2
) -> collections.abc.Iterator[str]:
    """Yield targets on a plain route and on one of streams, ``count`` of each kind."""
    for route, kinds in zip(routes, (PLAIN_KINDS, STREAM_KINDS), strict=True):
        for kind in kinds:
            for _ in range(count):
                yield f"/{route}/{attempts}/{kind}/"


def break_engines(site: fakes.Site, count: int, drips: bool) -> None:
    """Let the first ``count`` engines answer without end, and all others answer."""
    for engine in site.engines:
        engine.responder = silence_fakes.ended().respond
    for engine in site.engines[:count]:
        engine.responder = _dripping if drips else _flooding


async def _dripping(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
    await _send(request, writer, True)


async def _flooding(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
    await _send(request, writer, False)


async def _send(
    request: raw_servers.Request, writer: raw_servers.Writer, drips: bool
) -> None:
    kind = request.target.split("/")[3]
    headers = platform_standins.seal_headers(request)
    await endless.send(writer, kind, headers, drips)
