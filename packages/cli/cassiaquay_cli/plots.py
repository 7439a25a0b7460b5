"""Small SVG bar plots for self-contained HTML pages."""

import html
import typing

WIDTH = 640
HEIGHT = 150
LEFT = 46
BOTTOM = 22
TOP = 16


class Bar(typing.NamedTuple):
    """One bar: its position from 0 (oldest) to 1 (now), its width, and its value."""

    start: float
    width: float
    value: float


def bars(title: str, items: list[Bar], line: float, from_label: str) -> str:
    """Return an SVG of bars with a horizontal line at ``line``.

    Parameters
    ----------
    title : str
        Caption.
    items : list of Bar
        The bars; without any, only the axes are drawn.
    line : float
        Value of the horizontal line.
    from_label : str
        Label of the left end of the time axis; the right end is ``now``.
    """
    highest = max([line * 1.2, *(item.value for item in items)])
    inner_width = WIDTH - LEFT - 4
    inner_height = HEIGHT - TOP - BOTTOM
    base = HEIGHT - BOTTOM

    def height(value: float) -> float:
        return inner_height * value / highest

    parts = [
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}" height="{HEIGHT}"'
        f' role="img" aria-label="{html.escape(title)}">',
        f'<text x="{LEFT}" y="11" class="title">{html.escape(title)}</text>',
    ]
    for item in items:
        x = LEFT + inner_width * item.start
        width = max(inner_width * item.width - 0.5, 1.0)
        css_class = "over" if item.value > line else "under"
        parts.append(
            f'<rect class="{css_class}" x="{x:.1f}" y="{base - height(item.value):.1f}"'
            f' width="{width:.1f}" height="{height(item.value):.1f}"/>'
        )
    y = base - height(line)
    right = LEFT + inner_width
    parts += [
        f'<line class="limit" x1="{LEFT}" x2="{right}" y1="{y:.1f}" y2="{y:.1f}"/>',
        f'<line class="axis" x1="{LEFT}" x2="{right}" y1="{base}" y2="{base}"/>',
        f'<text x="{LEFT - 4}" y="{y + 4:.1f}" class="right">{line:g}</text>',
        f'<text x="{LEFT - 4}" y="{TOP + 8}" class="right">{highest:.3g}</text>',
        f'<text x="{LEFT}" y="{HEIGHT - 6}">{html.escape(from_label)}</text>',
        f'<text x="{right}" y="{HEIGHT - 6}" class="right">now</text>',
        "</svg>",
    ]
    return "\n".join(parts)
