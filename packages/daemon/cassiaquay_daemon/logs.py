"""Log lines: one event a line, as key=value pairs or JSON."""

import json
import logging
import sys
import typing

from pythonjsonlogger import json as json_logger

from cassiaquay_schema import settings as settings_schema

_LOGGER = logging.getLogger("cassiaquay")


class PairsFormatter(json_logger.JsonFormatter):
    """Collect the fields as the JSON formatter does; write key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, typing.Any]) -> str:
        """Return one line; values with blanks, quotes or '=' are quoted as JSON."""
        pairs = []
        for key, value in log_data.items():
            if value is None:
                continue
            text = value if isinstance(value, str) else json.dumps(value, default=str)
            if not text or any(mark in text for mark in ' "=\n'):
                text = json.dumps(text)
            pairs.append(f"{key}={text}")
        return " ".join(pairs)


def set_up(settings: settings_schema.Settings) -> None:
    """Send the log to standard output in the form that the settings ask for."""
    kind = (
        PairsFormatter if settings.logs.format == "pairs" else json_logger.JsonFormatter
    )
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        kind(
            "%(created)f %(levelname)s %(message)s",
            rename_fields={
                "created": "at",
                "levelname": "level",
                "message": "event",
            },
            static_fields={"instance": settings.instance},
        )
    )
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(settings.logs.level)
    _LOGGER.propagate = False


def event(name: str, **fields: typing.Any) -> None:
    """Write one event with its fields at the level INFO."""
    _LOGGER.info(name, extra=fields)


def trouble(name: str, **fields: typing.Any) -> None:
    """Write one event that an operator should look at, at the level WARNING."""
    _LOGGER.warning(name, extra=fields)


def detail(name: str, **fields: typing.Any) -> None:
    """Write one event at the level DEBUG."""
    _LOGGER.debug(name, extra=fields)


def also(handler: logging.Handler) -> None:
    """Give each event to one more handler."""
    _LOGGER.addHandler(handler)
