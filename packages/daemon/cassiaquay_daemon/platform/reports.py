"""Reads what backend servers report about themselves when they are asked."""

import msgspec

from .. import decoding, exceptions

REPORT_PATH = "/cassiaquay/report"


class _Report(msgspec.Struct):
    # Start time of the server process, Unix milliseconds; 0 if it states none.
    born: int = 0


def read_started_ms(body: bytes) -> int | None:
    """Return the start time of the process that wrote a report, in Unix ms.

    Returns
    -------
    int or None
        0 if the report states none, None if it cannot be read.
    """
    try:
        report: _Report = decoding.decode_json(body, _Report)
    except exceptions.UndecodableText:
        return None
    return report.born
