"""Lines of key=value pairs hold the fields that the library collects."""

import logging

import hypothesis
import msgspec
from hypothesis import strategies
from pythonjsonlogger import msgspec as json_logger

from cassiaquay_daemon import logs

_FORMAT = "%(created)f %(levelname)s %(message)s"
_RENAMED = {"created": "at", "levelname": "level", "message": "event"}
_STATIC = {"instance": "cq-1"}
# Fields may replace the static one, and those with an underscore are left out.
_NAMES = strategies.sampled_from(
    ["id", "rank", "instance", "event", "_hidden", "cause"]
)
_CHARACTERS = 'ab-:\u00e9 \t=\n"\\'
_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**53), 2**53),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(_CHARACTERS, max_size=8),
    strategies.lists(strategies.text(_CHARACTERS, max_size=4), max_size=3),
)


def _formatter(kind: type[json_logger.MsgspecFormatter]) -> logging.Formatter:
    return kind(_FORMAT, rename_fields=_RENAMED, static_fields=_STATIC)


def _quoted(value: object) -> str:
    text = value if isinstance(value, str) else msgspec.json.encode(value).decode()
    if not text or any(mark in text for mark in ' "=\n'):
        return msgspec.json.encode(text).decode()
    return text


@hypothesis.given(strategies.dictionaries(_NAMES, _VALUES))
def test_pairs_are_the_fields_of_the_json_line_in_its_order(fields) -> None:
    """Guards against a field that is lost, reordered or quoted otherwise as a pair."""
    record = logging.makeLogRecord({"msg": "shed", "levelname": "INFO", **fields})
    collected = msgspec.json.decode(
        _formatter(json_logger.MsgspecFormatter).format(record)
    )
    expected = [f"{k}={_quoted(v)}" for k, v in collected.items() if v is not None]
    assert _formatter(logs.PairsFormatter).format(record) == " ".join(expected)
