"""Log lines: one event a line, as key=value pairs or JSON."""

import logging
import typing

import msgspec
from pythonjsonlogger import msgspec as json_logger

from cassiaquay_schema import settings as settings_schema

from . import log_writer

_LOGGER = logging.getLogger("cassiaquay")

# No line shows these; collecting them took a third of the time of a line. See
# "Optimization" in the logging how-to of the Python documentation.
logging._srcfile = None
logging.logThreads = False
logging.logProcesses = False
logging.logMultiprocessing = False


def _quote(value: object) -> str:
    return msgspec.json.encode(value, enc_hook=str).decode()


class PairsFormatter(json_logger.MsgspecFormatter):
    """Collect the fields as the JSON formatter does; write key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, typing.Any]) -> str:
        """Return one line; values with blanks, quotes or '=' are quoted as JSON."""
        pairs = []
        for key, value in log_data.items():
            if value is None:
                continue
            text = value if isinstance(value, str) else _quote(value)
            if not text or any(mark in text for mark in ' "=\n'):
                text = _quote(text)
            pairs.append(f"{key}={text}")
        return " ".join(pairs)


def set_up(settings: settings_schema.Settings) -> None:
    """Send the log to standard output in the form that the settings ask for."""
    kind = (
        PairsFormatter
        if settings.logs.format == "pairs"
        else json_logger.MsgspecFormatter
    )
    handler = log_writer.Writer()
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
    handler.start()
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(settings.logs.level)
    _LOGGER.propagate = False


def adopt(settings: settings_schema.Settings) -> None:
    """Take in changed settings: the level."""
    _LOGGER.setLevel(settings.logs.level)


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
