"""``cassiaquay trace``: the outcome of a request and its cause, from log files only."""

import typing

from cassiaquay_schema import registry

from . import commands, log_lines, outputs

# Circumstances logged this long before a request's end may have influenced its outcome.
BEFORE_SECONDS = 5.0
# Events that report a process's view of servers, keepers and the platform.
CIRCUMSTANCES = (
    "configuration_in_force",
    "keeper_moved",
    "keeper_paused",
    "log_lines_left_out",
    "member_suspected",
    "overslept",
    "platform_returned",
    "ready",
    "reload_asked",
    "server_gone",
    "server_retained",
    "server_silent",
    "servers_in_force",
    "servers_readable",
    "servers_unreadable",
)

Story = list[log_lines.Line]
Cause = typing.Callable[[Story], str]
causes: registry.Registry[Cause] = registry.Registry("cause")


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
    """

    cause: str
    lines: Story
    circumstances: Story


@causes.register("limit_reached")
def _limit_reached(story: Story) -> str:
    wait = story[-1].fields.get("retry_after_ms", "?")
    return f"its team was over its limit; nothing was sent; back in {wait} ms"


@causes.register("shed_overload")
def _shed(story: Story) -> str:
    line = _last(story, "shed")
    if line is None:
        return "no slot in time; the keeper's own line is not in these files"
    fields = line.fields
    return (
        f"no slot in time in {fields.get('shard')} for rank {fields.get('rank')}, "
        f"given up by {line.instance} after {fields.get('waited_ms')} ms; "
        "nothing was sent"
    )


@causes.register("answer_lost")
def _answer_lost(story: Story) -> str:
    line = _last(story, "answer_cut")
    if line is None:
        return "a server broke off; its line is not in these files"
    fields = line.fields
    return (
        f"{fields.get('server')} broke off after event {fields.get('after')} "
        f"({fields.get('cause')}) and it could not be sent again"
    )


@causes.register("deadline_exceeded")
def _deadline(story: Story) -> str:
    sent = _last(story, "dispatch")
    server = sent.fields.get("server") if sent is not None else "no server"
    return f"{server} had it and gave no whole answer before the deadline"


@causes.register("deadline_infeasible")
def _infeasible(story: Story) -> str:
    return "its deadline passed before it was sent to any server"


@causes.register("unauthorized")
def _unauthorized(story: Story) -> str:
    return "its key belongs to no team in the configuration in force there"


@causes.register("no_route")
def _no_route(story: Story) -> str:
    return "no route of the configuration in force there has its host and path"


@causes.register("caller_gone")
def _caller_gone(story: Story) -> str:
    fields = story[-1].fields
    had = "a server had it" if fields.get("sent") == "true" else "no server had it"
    return f"its caller closed first, after {fields.get('ms')} ms; {had}"


def trace(id: str, lines: Story) -> Traced:
    """Return the lines of a request, its cause and its circumstances."""
    story = [line for line in lines if _is_of(line.fields.get("id", ""), id)]
    if not story:
        return Traced("no line carries this id", [], [])
    end = story[-1]
    instances = {line.instance for line in story}
    around = []
    for line in lines:
        if line.event not in CIRCUMSTANCES or line.instance not in instances:
            continue
        if end.at - BEFORE_SECONDS <= line.at <= end.at:
            around.append(line)
    return Traced(_cause(story), story, around)


def text_of(found: Traced) -> str:
    """Format a traced request as text."""
    if not found.lines:
        return found.cause
    began = found.lines[0].at
    parts = [f"cause: {found.cause}", ""]
    parts.append(outputs.table(["ms", "instance", "event", ""], _rows(found, began)))
    if found.circumstances:
        parts += ["", "learned there shortly before:"]
        around = found._replace(lines=found.circumstances)
        parts.append(
            outputs.table(["ms", "instance", "event", ""], _rows(around, began))
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
    found = trace(str(id), log_lines.read(files))
    return outputs.show(outputs.Output(text_of(found), found), json)


def _last(story: Story, event: str) -> log_lines.Line | None:
    """Return the last line of the given event, None without one."""
    for line in reversed(story):
        if line.event == event:
            return line
    return None


def _is_of(found: str, wanted: str) -> bool:
    # Repeated dispatches of a request append a dot and a number to its id.
    return found == wanted or found.startswith(f"{wanted}.")


def _cause(story: Story) -> str:
    end = story[-1]
    code = end.event if end.event == "caller_gone" else end.fields.get("code", "")
    if code in causes.names():
        return causes.get(code)(story)
    if end.fields.get("outcome") == "completed":
        return f"{end.fields.get('server')} answered it; nothing went wrong here"
    return f"it ended with {code or end.event}; docs/ERRORS.md tells of this code"


def _rows(found: Traced, began: float) -> list[list[str]]:
    rows = []
    for line in found.lines:
        hidden = ("level", "id")
        pairs = [f"{k}={v}" for k, v in line.fields.items() if k not in hidden]
        passed = f"{(line.at - began) * 1000.0:.1f}"
        rows.append([passed, line.instance, line.event, " ".join(pairs)])
    return rows
