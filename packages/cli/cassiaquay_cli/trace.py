"""``cassiaquay trace``: the outcome of a request and its cause, from log files only."""

import collections
import typing

from cassiaquay_schema import registry

from . import commands, log_lines, outputs, silences

# Circumstances logged this long before a request's end may have influenced its outcome.
CIRCUMSTANCES_WINDOW_SECONDS = 5.0
# Requests that ended with the same code this long before or after may share its cause.
ALIKE_WINDOW_SECONDS = 0.5
# Words for `cause` of the event `unanswered`, which follows the end of a request.
UNANSWERED_CAUSES = {
    "caller_left": "its caller closed before its answer was complete",
    "stream_cut": "its caller got a part of the stream, and the connection was closed",
    "deadline": "its time ended within the answer, and the connection was closed",
    "drained": "the grace period of a shutdown ended within the answer",
    "pipelined": "the answer before it on its connection was the last one there",
    "crashed": "an error of the instance closed the connection: a defect",
}
# Events that report a process's view of servers, keepers and the platform.
CIRCUMSTANCES = (
    "answers_given_up",
    "configuration_in_force",
    "keeper_moved",
    "keeper_paused",
    "log_lines_left_out",
    "member_suspected",
    "overslept",
    "platform_returned",
    "ready",
    "reload_asked",
    "server_departing",
    "server_gone",
    "server_retained",
    "server_signals",
    "server_silent",
    "servers_in_force",
    "servers_readable",
    "servers_unreadable",
)

Lines = list[log_lines.Line]
Cause = typing.Callable[[Lines], str]
causes: registry.Registry[Cause] = registry.Registry("cause")


class Alike(typing.NamedTuple):
    """Other requests that ended with the same code at the same time.

    Attributes
    ----------
    code : str
        The code.
    request_count : int
        Number of these requests.
    instances : dict of str to int
        Their number by instance, most first.
    servers : dict of str to int
        Their number by the server that had them last, most first.
    """

    code: str
    request_count: int
    instances: dict[str, int]
    servers: dict[str, int]


class Traced(typing.NamedTuple):
    """Log lines of a request and the cause of its outcome.

    Attributes
    ----------
    cause : str
        Cause of the outcome, in words.
    lines : list of Line
        Lines with the request's id, sorted by time.
    circumstances : list of Line
        Events at the same instances, shortly before the request's end, that may have
        influenced its outcome.
    alike : Alike or None
        Requests that ended like it; None if it completed.
    """

    cause: str
    lines: Lines
    circumstances: Lines
    alike: Alike | None = None

    @property
    def has_several_attempts(self) -> bool:
        """Whether it takes up the stream of another attempt."""
        return any("resumes" in line.fields for line in self.lines)


@causes.register("limit_reached")
def _explain_limit_reached(request_lines: Lines) -> str:
    wait = request_lines[-1].fields.get("retry_after_ms", "?")
    return f"its team was over its limit; nothing was sent; retry after {wait} ms"


@causes.register("shed_overload")
def _explain_shed(request_lines: Lines) -> str:
    line = _last_line(request_lines, "shed")
    if line is None:
        return "no slot in time; the keeper's own line is not in these files"
    fields = line.fields
    return (
        f"no slot in time in {fields.get('shard')} for rank {fields.get('rank')}, "
        f"given up by {line.instance} after {fields.get('waited_ms')} ms; "
        "nothing was sent"
    )


@causes.register("servers_busy")
def _explain_servers_busy(request_lines: Lines) -> str:
    wait = request_lines[-1].fields.get("retry_after_ms", "?")
    return (
        f"all servers of its service had asked {request_lines[-1].instance} to wait; "
        f"nothing was sent; retry after {wait} ms"
    )


@causes.register("answer_lost")
def _explain_answer_lost(request_lines: Lines) -> str:
    cause = request_lines[-1].fields.get("cause")
    line = _last_line(request_lines, "answer_cut")
    if line is None and cause:
        return f"a server had it and its answer was lost: {cause}"
    if line is None:
        return "a server broke off; its line is not in these files"
    fields = line.fields
    text = (
        f"{fields.get('server')} broke off after event {fields.get('after')} "
        f"({fields.get('cause')}) and it could not be sent again"
    )
    return f"{text}: {cause}" if cause else text


@causes.register("origin_unknown")
def _explain_origin_unknown(request_lines: Lines) -> str:
    fields = request_lines[-1].fields
    line = _last_line(request_lines, "stream_resumes")
    if line is not None:
        fields = line.fields
    return (
        f"no instance knew the software version of {fields.get('resumes', '?')}, whose "
        f"stream it takes up; open were {fields.get('versions', '?')}; nothing was sent"
    )


@causes.register("no_matching_servers")
def _explain_no_matching_servers(request_lines: Lines) -> str:
    line = _last_line(request_lines, "stream_resumes")
    software = line.fields.get("software") if line is not None else "that version"
    return f"its stream began at {software}, and no server of it is left"


@causes.register("deadline_exceeded")
def _explain_deadline_exceeded(request_lines: Lines) -> str:
    servers: list[str] = []
    for line in request_lines:
        server = line.fields.get("server", "?")
        if line.event == "dispatch" and server not in servers:
            servers.append(server)
    names = " and ".join(servers) or "no server"
    return f"dispatched to {names}; no complete response before the deadline"


@causes.register("deadline_infeasible")
def _explain_deadline_infeasible(request_lines: Lines) -> str:
    return "its deadline passed before it was sent to any server"


@causes.register("unauthorized")
def _explain_unauthorized(request_lines: Lines) -> str:
    return "its key belongs to no team in the configuration in force there"


@causes.register("no_route")
def _explain_no_route(request_lines: Lines) -> str:
    return "no route of the configuration in force there has its host and path"


@causes.register("caller_gone")
def _explain_caller_gone(request_lines: Lines) -> str:
    fields = request_lines[-1].fields
    sent = "a server had it" if fields.get("sent") == "true" else "no server had it"
    return f"its caller closed first, after {fields.get('ms')} ms; {sent}"


def trace(id: str, lines: Lines) -> Traced:
    """Return the lines of a request, its cause and its circumstances.

    The lines of the attempt whose stream it takes up come with its own.
    """
    first_id = _resumed_id(id, lines)
    request_lines = []
    for line in lines:
        logged_id = line.fields.get("id", "")
        if _is_same_request(logged_id, id) or _is_same_request(logged_id, first_id):
            request_lines.append(line)
    if not request_lines:
        return Traced("no line carries this id", [], [])
    own_lines = [
        line for line in request_lines if _is_same_request(line.fields["id"], id)
    ]
    end = _end_of(own_lines)
    instances = {line.instance for line in request_lines}
    circumstances = []
    for line in lines:
        if line.event not in CIRCUMSTANCES or line.instance not in instances:
            continue
        if end.at - CIRCUMSTANCES_WINDOW_SECONDS <= line.at <= end.at:
            circumstances.append(line)
    return Traced(
        _explain_outcome(own_lines), request_lines, circumstances, _alike(end, lines)
    )


def format_text(traced: Traced) -> str:
    """Format a traced request as text."""
    if not traced.lines:
        return traced.cause
    start_at = traced.lines[0].at
    parts = [f"cause: {traced.cause}"]
    if traced.alike is not None:
        parts.append(_format_alike(traced.alike))
    parts.append("")
    parts.append(
        outputs.table(["ms", "instance", "event", ""], _rows(traced, start_at))
    )
    if traced.circumstances:
        parts += ["", "learned there shortly before:"]
        shown = traced._replace(lines=traced.circumstances)
        parts.append(
            outputs.table(["ms", "instance", "event", ""], _rows(shown, start_at))
        )
    return "\n".join(parts)


@commands.commands.register("trace")
def show(id: str, *files: str, json: bool = False) -> outputs.Shown:
    """Show the outcome of a request and its cause, from log files of the daemons.

    Parameters
    ----------
    id : str
        The request's id, as its caller sent it.
    files : str
        Log files of all instances; the keeper's file shows why a request was shed.
    json : bool
        Print JSON.
    """
    traced = trace(str(id), log_lines.read(files))
    return outputs.show(outputs.Output(format_text(traced), traced), json)


def _last_line(request_lines: Lines, event: str) -> log_lines.Line | None:
    """Return the last line of the given event, None without one."""
    for line in reversed(request_lines):
        if line.event == event:
            return line
    return None


def _resumed_id(id: str, lines: Lines) -> str:
    """Return the id of the attempt whose stream a request takes up, or its own."""
    for line in lines:
        if _is_same_request(line.fields.get("id", ""), id) and "resumes" in line.fields:
            return line.fields["resumes"]
    return id


def _is_same_request(logged_id: str, request_id: str) -> bool:
    # Repeated dispatches of a request append a dot and a number to its id.
    return logged_id == request_id or logged_id.startswith(f"{request_id}.")


def _end_of(request_lines: Lines) -> log_lines.Line:
    """Return the line with a request's outcome, or its last line."""
    for line in reversed(request_lines):
        if line.event != "unanswered":
            return line
    return request_lines[-1]


def _explain_outcome(request_lines: Lines) -> str:
    until_end = _until_end(request_lines)
    texts = [_explain_end(until_end), silences.describe(until_end)]
    line = _last_line(request_lines, "unanswered")
    if line is not None:
        cause = line.fields.get("cause", "")
        texts.append(UNANSWERED_CAUSES.get(cause, f"unanswered: {cause}"))
    return "; ".join(text for text in texts if text)


def _until_end(request_lines: Lines) -> Lines:
    """Return the lines up to the one with a request's outcome."""
    return request_lines[: request_lines.index(_end_of(request_lines)) + 1]


def _explain_end(request_lines: Lines) -> str:
    end = request_lines[-1]
    code = _code_of(end)
    if code in causes.names():
        return causes.get(code)(request_lines)
    if end.fields.get("outcome") == "completed":
        return f"{end.fields.get('server')} answered it; nothing went wrong here"
    return f"it ended with {code or end.event}; see docs/ERRORS.md for this code"


def _code_of(end: log_lines.Line) -> str:
    """Return the code of a request's last line; empty if it completed."""
    return end.event if end.event == "caller_gone" else end.fields.get("code", "")


def _alike(end: log_lines.Line, lines: Lines) -> Alike | None:
    """Return the requests that ended like another one; None if that completed."""
    code = _code_of(end)
    if not code:
        return None
    instances: collections.Counter[str] = collections.Counter()
    servers: collections.Counter[str] = collections.Counter()
    own_id = end.fields["id"]
    for line in lines:
        if line.event != end.event or _code_of(line) != code:
            continue
        if abs(line.at - end.at) > ALIKE_WINDOW_SECONDS:
            continue
        if line.fields.get("id") == own_id:
            continue
        instances[line.instance] += 1
        if "server" in line.fields:
            servers[line.fields["server"]] += 1
    return Alike(
        code,
        instances.total(),
        dict(instances.most_common()),
        dict(servers.most_common()),
    )


def _format_alike(alike: Alike) -> str:
    seconds = ALIKE_WINDOW_SECONDS
    if not alike.request_count:
        return f"alike: no other request ended with {alike.code} within {seconds:g} s"
    text = (
        f"alike: {alike.request_count} others ended with {alike.code} "
        f"within {seconds:g} s of it"
    )
    for title, counts in (("instances", alike.instances), ("servers", alike.servers)):
        names = [f"{name} ({count})" for name, count in counts.items()]
        if names:
            text += f"; {title}: {', '.join(names)}"
    return text


def _rows(traced: Traced, start_at: float) -> list[list[str]]:
    rows = []
    for line in traced.lines:
        hidden = ("level",) if traced.has_several_attempts else ("level", "id")
        pairs = [f"{k}={v}" for k, v in line.fields.items() if k not in hidden]
        elapsed_ms = f"{(line.at - start_at) * 1000.0:.1f}"
        rows.append([elapsed_ms, line.instance, line.event, " ".join(pairs)])
    return rows
