"""How commands print: tables for people, JSON for programs, an exit code for both."""

import typing

import msgspec

COMPLETE = 0
# Everything that could be had was printed, but some instances gave no answer.
PARTIAL = 6
# An objective's error budget burns too fast, or is spent.
BURNING = 7


class Output(typing.NamedTuple):
    """What a command found.

    Attributes
    ----------
    text : str
        For people.
    data : object
        The same for programs.
    exit_code : int
        For scripts.
    """

    text: str
    data: object
    exit_code: int = COMPLETE


class Shown(str):
    """Printed output that carries its exit code to the end of the program."""

    exit_code = COMPLETE


def show(output: Output, as_json: bool) -> Shown:
    """Return what is to be printed."""
    text = output.text
    if as_json:
        encoded = msgspec.json.encode(output.data)
        text = msgspec.json.format(encoded, indent=2).decode()
    shown = Shown(text)
    shown.exit_code = output.exit_code
    return shown


def table(header: list[str], rows: list[list[str]]) -> str:
    """Return rows under a header, columns as wide as needed."""
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
    """Return a length of time in the largest fitting unit."""
    for name, length in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= 2 * length:
            return f"{seconds / length:.0f} {name}"
    return f"{seconds:.0f} s"
