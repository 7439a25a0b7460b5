"""Errors of the schema: settings and fleet texts that are not accepted."""


class SchemaError(Exception):
    """Root of this package's errors.

    Parameters
    ----------
    message : str
        What is wrong.
    place : str
        Where in the text, as a dotted path.
    accepted : str
        What would be accepted there.
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
    """A name refers to nothing in the text."""

    code = "text_reference"


class CycleFault(SchemaError):
    """Services depend on each other in a circle."""

    code = "text_cycle"


class DuplicateFault(SchemaError):
    """A name or rank stands twice."""

    code = "text_duplicate"


class LimitFault(SchemaError):
    """Two values do not fit together."""

    code = "text_limit"


class NameFault(SchemaError):
    """No behaviour is registered under a name."""

    code = "text_name"
