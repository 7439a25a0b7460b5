"""What a backend server reports about itself in the headers of an answer."""

import collections.abc
import math
import typing

import multidict

HeaderMap = multidict.CIMultiDictProxy[str] | multidict.CIMultiDict[str]

LEAVING = "1"
# Only this status asks for a pause: the server turns the request away.
TURNED_AWAY_STATUS = 503


class HeaderNames(typing.NamedTuple):
    """Names of the answer headers of one protocol.

    Attributes
    ----------
    limit, leaving, retry_after, brittle : str
        Headers of the fields of :class:`Signals`.
    """

    limit: str
    leaving: str
    retry_after: str
    brittle: str


class Signals(typing.NamedTuple):
    """What one answer says about its server.

    Attributes
    ----------
    limit : float or None
        Requests per second that the server takes from the whole fleet.
    is_leaving : bool
        Whether the server is shutting down.
    retry_after : float or None
        Seconds for which it wants no request from this instance.
    unreadable : dict of str to str
        Invalid values by header name; their fields have their defaults.
    is_limit_readable : bool
        False if the answer names a limit that cannot be read.
    brittle : float or None
        Rejections in a second above which the server falls over.
    is_brittle_readable : bool
        False if the answer gives that number and it cannot be read.
    """

    limit: float | None = None
    is_leaving: bool = False
    retry_after: float | None = None
    unreadable: collections.abc.Mapping[str, str] = {}
    is_limit_readable: bool = True
    brittle: float | None = None
    is_brittle_readable: bool = True


def read(names: HeaderNames, status: int, headers: HeaderMap) -> Signals:
    """Return the signals in an answer's headers.

    Of several values of a header, the most restrictive one holds.
    """
    unreadable: dict[str, str] = {}
    limits = _read_numbers(headers, names.limit, unreadable)
    brittle = _read_numbers(headers, names.brittle, unreadable)
    retry_after = None
    if status == TURNED_AWAY_STATUS:
        times = _read_numbers(headers, names.retry_after, unreadable)
        retry_after = max(times, default=None)
    leaving = [text.strip() for text in headers.getall(names.leaving, [])]
    return Signals(
        min(limits, default=None),
        LEAVING in leaving,
        retry_after,
        unreadable,
        names.limit not in unreadable,
        min(brittle, default=None),
        names.brittle not in unreadable,
    )


def _read_numbers(
    headers: HeaderMap, name: str, unreadable: dict[str, str]
) -> list[float]:
    """Return all values of a header, none of them if one is invalid."""
    numbers = []
    for text in headers.getall(name, []):
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not math.isfinite(number) or number < 0.0:
            unreadable[name] = text
            return []
        numbers.append(number)
    return numbers
