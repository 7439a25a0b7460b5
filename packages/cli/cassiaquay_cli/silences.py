"""Silences of servers in the log lines of one request, in words."""

import typing

from . import log_lines

Lines = list[log_lines.Line]

# Words for `cause` of the event `server_kept`.
KEPT_CAUSES = {
    "attempts": "its route allows no further server",
    "unnumbered": "no other server can go on after an event without a number",
    "budget": "the retry budget was spent",
    "quarantined": "it was refused to other servers since it may have crashed some",
    "no_permit": "no other server had room",
    "unreachable": "the other server could not be reached",
    "declined": "the other server declined it",
    "woke_up": "it went on with other requests before the other one had begun",
    "silent": "the other server broke off or was silent, too",
}


class Silence(typing.NamedTuple):
    """One silence of a server that owed the request's answer.

    Attributes
    ----------
    quiet : Line
        The event ``server_quiet``, logged some time after the last byte.
    end : Line or None
        ``server_answered``, ``server_replaced`` or ``server_kept`` of its end; None if
        the request ended first.
    obstacles : list of str
        Why no other server took the request, in words and in order of time.
    asked : list of str
        Other servers that got the request meanwhile.
    """

    quiet: log_lines.Line
    end: log_lines.Line | None
    obstacles: list[str]
    asked: list[str]

    def describe(self, request_end: log_lines.Line) -> str:
        """Return what became of it."""
        fields = self.quiet.fields
        server = fields.get("server", "?")
        if self.end is None:
            seconds_more = max(request_end.at - self.quiet.at, 0.0)
            silent_ms = _number(fields.get("silent_ms", "")) + seconds_more * 1000.0
            text = (
                f"{server} had sent nothing for {silent_ms:.0f} ms"
                f"{_place(fields)} when it ended"
            )
            return f"{text}; {self._describe_others()}"
        silent_ms = _number(self.end.fields.get("silent_ms", ""))
        text = f"{server} was silent for {silent_ms:.0f} ms{_place(fields)}"
        if self.end.event == "server_replaced":
            return f"{text}, then {self.end.fields.get('by', '?')} took over"
        return f"{text}, then answered after all"

    def _describe_others(self) -> str:
        text = ""
        if self.asked:
            text = f"{', '.join(self.asked)} got it, too"
        if self.obstacles:
            causes = ", then ".join(self.obstacles)
            text = f"{text}; " if text else text
            return f"{text}no other server took over: {causes}"
        return text or "no line names why no other server took over"


def find(request_lines: Lines) -> list[Silence]:
    """Return the silences in the lines of a request, sorted by time."""
    found: list[Silence] = []
    for line in request_lines:
        if line.event == "server_quiet":
            found.append(Silence(line, None, [], []))
            continue
        if not found or found[-1].end is not None:
            continue
        current = found[-1]
        server = line.fields.get("server", "?")
        if line.event in ("server_answered", "server_replaced"):
            found[-1] = current._replace(end=line)
        if line.event == "server_kept":
            _add_new(current.obstacles, _obstacle(line))
        if line.event == "dispatch" and server != current.quiet.fields.get("server"):
            _add_new(current.asked, server)
    return found


def describe(request_lines: Lines) -> str:
    """Return what is known of a request's silent servers; empty without any."""
    descriptions = []
    for silence in find(request_lines):
        descriptions.append(silence.describe(request_lines[-1]))
    return "; ".join(descriptions)


def _obstacle(line: log_lines.Line) -> str:
    cause = line.fields.get("cause", "?")
    words = KEPT_CAUSES.get(cause, cause)
    error = line.fields.get("error")
    return f"{words} ({error})" if error else words


def _add_new(texts: list[str], text: str) -> None:
    if text not in texts:
        texts.append(text)


def _place(fields: dict[str, str]) -> str:
    """Return where in the answer the silence began."""
    after = fields.get("after", "-1")
    return f" after event {after}" if _number(after) >= 0.0 else ""


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
