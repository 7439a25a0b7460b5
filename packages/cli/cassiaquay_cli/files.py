"""Read fleet texts from files."""

import pathlib

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import fleet, texts

from . import exceptions


def read_fleet(path: str) -> fleet.Fleet:
    """Return the fleet that a file describes, checked whole."""
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.FileUnreadable(f"{path}: {error}") from error
    try:
        return texts.read_fleet(text)
    except schema_exceptions.SchemaError as error:
        raise exceptions.TextRefused(f"{path}: {error}") from error
