"""Decodes JSON that other programs have written, with one error for all that fails."""

import re
import typing

import msgspec

from . import exceptions

Decoded = typing.TypeVar("Decoded")

REPLACEMENT = "\ufffd"
# Other escapes, which may end in a backslash; a pair of surrogates; or a lone one.
_ESCAPE = re.compile(
    rb"\\(?:[^u](?:\\[^u])*"
    rb"|u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    rb"|(?P<lone>u[dD][89a-fA-F][0-9a-fA-F]{2}))",
    re.DOTALL,
)


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


def replace_lone_surrogates(data: bytes) -> bytes:
    """Return a JSON text without escapes that stand for no character.

    Some encoders write them for bytes that are no text. The decoder takes none.
    """
    return _ESCAPE.sub(_replace_lone, data)


def _replace_lone(found: re.Match[bytes]) -> bytes:
    return found[0] if found["lone"] is None else rb"\ufffd"
