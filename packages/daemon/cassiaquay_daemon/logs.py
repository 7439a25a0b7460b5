"""Structured logging: one event per line, as key=value pairs or JSON."""

import logging
import re
import typing

import msgspec
from pythonjsonlogger import msgspec as json_logger

from cassiaquay_schema import settings as settings_schema

from . import log_writer

_LOGGER = logging.getLogger("cassiaquay")

# No line contains these fields, and collecting them took a third of the time of a log
# call. See "Optimization" in the logging how-to of the Python documentation.
logging._srcfile = None
logging.logThreads = False
logging.logProcesses = False
logging.logMultiprocessing = False


_ENCODER = msgspec.json.Encoder(enc_hook=str)
# Blanks, quotes, '=' and control characters but tabs: some readers end a line at each.
_SPECIAL = re.compile(r'[\x00-\x08\x0a-\x20"=]')


def _quote(value: object) -> str:
    return _ENCODER.encode(value).decode()


class PairsFormatter(json_logger.MsgspecFormatter):
    """Formats the fields that the JSON formatter collects as key=value pairs."""

    def add_fields(
        self,
        log_data: dict[str, typing.Any],
        record: logging.LogRecord,
        message_dict: dict[str, typing.Any],
    ) -> None:
        """Collect the fields as the library does, without calls for each of them."""
        fields = record.__dict__
        for field in self._required_fields:
            log_data[self.rename_fields.get(field, field)] = fields.get(field)
        log_data.update(self.static_fields)
        log_data.update(message_dict)
        skipped = self._skip_fields
        for key, value in fields.items():
            if key not in skipped and not key.startswith("_"):
                log_data[key] = value

    def jsonify_log_record(self, log_data: dict[str, typing.Any]) -> str:
        """Return one line; values with blanks, quotes, '=' and so on are quoted."""
        pairs = []
        for key, value in log_data.items():
            if value is None:
                continue
            text = value if isinstance(value, str) else _quote(value)
            if not text.isascii():
                # Header values are decoded with surrogates in place of invalid bytes.
                text = text.encode(errors="backslashreplace").decode()
            if not text or _SPECIAL.search(text):
                text = _quote(text)
            pairs.append(f"{key}={text}")
        return " ".join(pairs)


FORMATTERS = {"pairs": PairsFormatter, "json": json_logger.MsgspecFormatter}


def set_up(settings: settings_schema.Settings) -> None:
    """Log to standard output in the format and at the level of the settings."""
    kind = FORMATTERS[settings.logs.format]
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
    """Apply changed settings; only the log level can change at run time."""
    _LOGGER.setLevel(settings.logs.level)


def event(name: str, **fields: typing.Any) -> None:
    """Log an event with its fields at level INFO."""
    _LOGGER.info(name, extra=fields)


def trouble(name: str, **fields: typing.Any) -> None:
    """Log an event that needs an operator's attention, at level WARNING."""
    _LOGGER.warning(name, extra=fields)


def detail(name: str, **fields: typing.Any) -> None:
    """Log an event at level DEBUG."""
    _LOGGER.debug(name, extra=fields)


def add_handler(handler: logging.Handler) -> None:
    """Add a handler that also receives each event."""
    _LOGGER.addHandler(handler)
