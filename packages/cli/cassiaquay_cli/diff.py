"""``cassiaquay diff``: the differences between two fleet texts."""

from . import commands, differences, files, outputs


@commands.commands.register("diff")
def diff(old: str, new: str, json: bool = False) -> outputs.Shown:
    """Show the values that differ between two fleet texts.

    Parameters
    ----------
    old, new : str
        Paths of the texts.
    json : bool
        Print JSON.
    """
    before, after = files.read_fleet(str(old)), files.read_fleet(str(new))
    changes = differences.compare(before, after)
    lines = []
    for item in changes:
        left, right = item.before or "(none)", item.after or "(none)"
        lines.append(f"{item.place}: {left} -> {right}")
    text = "\n".join(lines) or "no difference"
    data = [item._asdict() for item in changes]
    return outputs.show(outputs.Output(text, data), json)
