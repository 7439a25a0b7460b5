"""Errors for settings and fleet texts that are refused."""


class SchemaError(Exception):
    """Base class of this package's errors.

    Parameters
    ----------
    message : str
        Description of the error.
    place : str
        Dotted path of the faulty value in the text.
    accepted : str
        Description of a value that would be accepted there.
    """

    code = "schema"

    def __init__(self, message: str, place: str = "", accepted: str = ""):
        super().__init__(message)
        self.message = message
        self.place = place
        self.accepted = accepted

    def __str__(self) -> str:
        """Return one line with code, place, cause and accepted form."""
        text = f"{self.code}: {self.place or '(text)'}: {self.message}"
        if self.accepted:
            text += f" (accepted: {self.accepted})"
        return text


class SyntaxFault(SchemaError):
    """The text is not TOML."""

    code = "text_syntax"


class ShapeFault(SchemaError):
    """A key or value does not fit the schema."""

    code = "text_shape"


class ReferenceFault(SchemaError):
    """A name refers to an entry that the text does not have."""

    code = "text_reference"


class CycleFault(SchemaError):
    """The dependencies of services form a cycle."""

    code = "text_cycle"


class DuplicateFault(SchemaError):
    """A name, address, rank or credential is used more than once."""

    code = "text_duplicate"


class LimitFault(SchemaError):
    """A value is outside the limit that another value sets."""

    code = "text_limit"


class NameFault(SchemaError):
    """A name is not registered in the daemon."""

    code = "text_name"
