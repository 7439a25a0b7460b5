"""Output of commands: text or JSON, and an exit code."""

import typing

import msgspec

EXIT_COMPLETE = 0
# The output is incomplete, as some instances did not respond.
EXIT_PARTIAL = 6
# The error budget of an objective burns too fast or is spent.
EXIT_BURNING = 7


class Output(typing.NamedTuple):
    """Result of a command.

    Attributes
    ----------
    text : str
        Text to print by default.
    data : object
        The result as printed with ``--json``.
    exit_code : int
        Exit code of the program.
    """

    text: str
    data: object
    exit_code: int = EXIT_COMPLETE


class Shown(str):
    """Text to print, with the exit code that ``main`` exits with."""

    exit_code = EXIT_COMPLETE


def show(output: Output, as_json: bool) -> Shown:
    """Return an output as text or JSON, with its exit code."""
    text = output.text
    if as_json:
        encoded = msgspec.json.encode(output.data)
        text = msgspec.json.format(encoded, indent=2).decode()
    shown = Shown(text)
    shown.exit_code = output.exit_code
    return shown


def table(header: list[str], rows: list[list[str]]) -> str:
    """Format rows under a header in aligned columns."""
    widths = [len(name) for name in header]
    for row in rows:
        for index, text in enumerate(row):
            widths[index] = max(widths[index], len(text))
    lines = []
    for row in [header, *rows]:
        cells = [text.ljust(widths[index]) for index, text in enumerate(row)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def duration(seconds: float) -> str:
    """Format a duration in the largest unit of which it has at least two."""
    for name, length in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= 2 * length:
            return f"{seconds / length:.0f} {name}"
    return f"{seconds:.0f} s"
