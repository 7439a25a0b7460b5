"""Decodes JSON that other programs have written, with one error for all that fails."""

import typing

import msgspec

from . import exceptions

Decoded = typing.TypeVar("Decoded")


def decode_json(
    data: bytes | str | msgspec.Raw, kind: type[Decoded] | typing.Any
) -> Decoded:
    """Return the value that a JSON text describes.

    Raises
    ------
    UndecodableText
        When it is no JSON, or describes nothing of the type. Deep nesting, invalid
        UTF-8 and numbers with thousands of digits raise other errors in the library.
    """
    try:
        return typing.cast(Decoded, msgspec.json.decode(data, type=kind))
    except (msgspec.MsgspecError, ValueError, ArithmeticError, RecursionError) as error:
        raise exceptions.UndecodableText(str(error)) from error
