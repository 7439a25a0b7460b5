"""Reads fleet texts from files."""

import pathlib

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import fleet, texts

from . import exceptions


def read_fleet(path: str) -> fleet.Fleet:
    """Return the fleet described by a file; raise TextRefused when it is invalid."""
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.FileUnreadable(f"{path}: {error}") from error
    try:
        return texts.read_fleet(text)
    except schema_exceptions.SchemaError as error:
        raise exceptions.TextRefused(f"{path}: {error}") from error
