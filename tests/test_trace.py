"""Finding the cause of a request's outcome by its id, from log files only."""

import pathlib

import pytest

from cassiaquay_cli import exceptions, log_lines, trace

DISPATCH = (
    "at=100.0 level=INFO event=dispatch instance=cq-1 id=c1 server=i-1 route=r/chat/ "
    "team=blue rank=0 number=1 waited_ms=2.1 configuration=62"
)
ANSWER_CUT = (
    "at=100.5 level=INFO event=answer_cut instance=cq-1 id=c1 server=i-1 "
    'cause="ClientPayloadError(\\"not enough data\\")" after=3 runs=1'
)
ENDED_LOST = (
    "at=100.6 level=INFO event=ended instance=cq-1 id=c1 outcome=outcome_unknown "
    "code=answer_lost status=502"
)
SHED = (
    "at=99.9 level=INFO event=shed instance=cq-2 id=c2 shard=chat#0 rank=3 "
    "code=shed_overload waited_ms=310.5"
)
ENDED_REFUSED = (
    "at=100.0 level=INFO event=ended instance=cq-1 id=c2 outcome=not_run "
    "code=shed_overload status=503 retry_after_ms=900"
)
SERVER_GONE = (
    "at=98.0 level=INFO event=server_gone instance=cq-2 server=i-7 missing_ms=0"
)
SERVER_GONE_EARLIER = (
    "at=90.0 level=INFO event=server_gone instance=cq-2 server=i-6 missing_ms=0"
)
SERVER_GONE_ELSEWHERE = (
    "at=99.0 level=INFO event=server_gone instance=cq-9 server=i-8 missing_ms=0"
)


SERVER_QUIET = (
    "at=101.2 level=INFO event=server_quiet instance=cq-1 id=c1 server=i-1 "
    "silent_ms=1200 after=3 sent_to=1 attempts=2"
)
SERVER_KEPT = (
    "at=101.2 level=INFO event=server_kept instance=cq-1 id=c1 server=i-1 cause=budget"
)
SERVER_REPLACED = (
    "at=101.5 level=INFO event=server_replaced instance=cq-1 id=c1 server=i-1 by=i-2 "
    "silent_ms=1500 after=3 sent_to=2 attempts=2"
)
SERVER_ANSWERED = (
    "at=101.6 level=INFO event=server_answered instance=cq-1 id=c1 server=i-1 "
    "silent_ms=1600 after=3 sent_to=1 attempts=2"
)
ENDED_LATE = (
    "at=102.0 level=INFO event=ended instance=cq-1 id=c1 outcome=outcome_unknown "
    "code=deadline_exceeded status=504 server=i-1"
)
ENDED_COMPLETED = (
    "at=102.0 level=INFO event=ended instance=cq-1 id=c1 outcome=completed server=i-2"
)


def _read(folder: pathlib.Path, **files: list[str]) -> list[log_lines.Line]:
    paths = []
    for name, lines in files.items():
        path = folder / f"{name}.log"
        path.write_text("\n".join(lines))
        paths.append(str(path))
    return log_lines.read(paths)


def test_lost_answer_names_the_server_that_broke_off(tmp_path) -> None:
    found = trace.trace(
        "c1", _read(tmp_path, a=[ENDED_LOST, ANSWER_CUT, DISPATCH, SHED])
    )
    assert [line.event for line in found.lines] == ["dispatch", "answer_cut", "ended"]
    assert "i-1 broke off after event 3" in found.cause
    assert 'ClientPayloadError("not enough data")' in found.cause


def test_shed_request_shows_its_keeper_and_circumstances(tmp_path) -> None:
    """The keeper logs to another file, and lost a server shortly before the refusal."""
    lines = _read(
        tmp_path,
        a=[ENDED_REFUSED, SERVER_GONE_ELSEWHERE],
        b=[SERVER_GONE, SHED, SERVER_GONE_EARLIER],
    )
    found = trace.trace("c2", lines)
    assert "no slot in time in chat#0 for rank 3, given up by cq-2" in found.cause
    assert [line.fields["server"] for line in found.circumstances] == ["i-7"]
    shown = trace.format_text(found)
    assert "learned there shortly before" in shown
    assert "-1900.0" in shown


def test_missing_keeper_log_file_is_reported(tmp_path) -> None:
    found = trace.trace("c2", _read(tmp_path, a=[ENDED_REFUSED]))
    assert "not in these files" in found.cause


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("code=limit_reached outcome=not_run retry_after_ms=400", "over its limit"),
        ("code=deadline_exceeded outcome=outcome_unknown", "before the deadline"),
        ("code=servers_busy outcome=not_run retry_after_ms=9", "had asked"),
        ("code=unauthorized outcome=not_run", "no team"),
        ("code=no_route outcome=not_run", "no route"),
        ("code=deadline_infeasible outcome=not_run", "before it was sent"),
        ("outcome=completed server=i-1", "nothing went wrong"),
        ("code=something_new outcome=failed", "something_new"),
    ],
)
def test_each_outcome_has_a_cause(tmp_path, line: str, expected: str) -> None:
    text = f"at=1.0 level=INFO event=ended instance=cq-1 id=c9 {line}"
    assert expected in trace.trace("c9", _read(tmp_path, a=[text])).cause


def test_caller_gone_shows_duration_and_dispatch(tmp_path) -> None:
    text = "at=1.0 event=caller_gone instance=cq-1 id=c9 sent=false ms=2399.8"
    found = trace.trace("c9", _read(tmp_path, a=[text]))
    assert "after 2399.8 ms; no server had it" in found.cause


def test_repeated_dispatches_belong_to_the_request(tmp_path) -> None:
    second = SHED.replace("id=c2", "id=c2.2")
    other = SHED.replace("id=c2", "id=c22")
    found = trace.trace("c2", _read(tmp_path, a=[second, other, ENDED_REFUSED]))
    assert len(found.lines) == 2


def test_lost_answer_shows_why_it_was_not_sent_again(tmp_path) -> None:
    """Guards against one text for all causes of a lost answer."""
    ended = ENDED_LOST + ' cause="the budget of repeats is spent"'
    found = trace.trace("c1", _read(tmp_path, a=[DISPATCH, ANSWER_CUT, ended]))
    assert "could not be sent again: the budget of repeats is spent" in found.cause
    found = trace.trace("c1", _read(tmp_path, a=[DISPATCH, ended]))
    assert "answer was lost: the budget of repeats is spent" in found.cause


def test_silent_server_at_the_end_is_named_with_its_obstacles(tmp_path) -> None:
    """Guards against a request that waited for a silent server for no visible cause."""
    no_room = SERVER_KEPT.replace("at=101.2", "at=101.4").replace(
        "cause=budget", 'cause=no_permit error="more important work has the capacity"'
    )
    lines = [DISPATCH, SERVER_QUIET, SERVER_KEPT, no_room, ENDED_LATE]
    found = trace.trace("c1", _read(tmp_path, a=lines))
    assert "i-1 had sent nothing for 2000 ms after event 3 when it ended" in found.cause
    assert (
        "no other server took over: the retry budget was spent, then no other server "
        "had room (more important work has the capacity)"
    ) in found.cause


@pytest.mark.parametrize(
    ("cause", "expected"),
    [
        ("attempts", "its route allows no further server"),
        ("budget", "the retry budget was spent"),
        ("quarantined", "refused to other servers since it may have crashed some"),
        ("no_permit", "no other server had room"),
        ("unreachable", "the other server could not be reached"),
        ("declined", "the other server declined it"),
        ("silent", "the other server broke off or was silent, too"),
        ("something_new", "something_new"),
    ],
)
def test_each_obstacle_has_words(tmp_path, cause: str, expected: str) -> None:
    kept = SERVER_KEPT.replace("cause=budget", f"cause={cause}")
    found = trace.trace("c1", _read(tmp_path, a=[SERVER_QUIET, kept, ENDED_LATE]))
    assert "; no other server took over: " in found.cause
    assert found.cause.endswith(expected)


def test_second_server_that_is_silent_too_is_named(tmp_path) -> None:
    second = DISPATCH.replace("at=100.0", "at=101.3").replace("i-1", "i-2")
    lines = [DISPATCH, SERVER_QUIET, second, ENDED_LATE]
    found = trace.trace("c1", _read(tmp_path, a=lines))
    assert "dispatched to i-1 and i-2; no complete response" in found.cause
    assert found.cause.endswith("when it ended; i-2 got it, too")


def test_silent_server_that_lost_no_answer_is_named(tmp_path) -> None:
    replaced = [DISPATCH, SERVER_QUIET, SERVER_REPLACED, ENDED_COMPLETED]
    found = trace.trace("c1", _read(tmp_path, a=replaced))
    assert "nothing went wrong" in found.cause
    assert "i-1 was silent for 1500 ms after event 3, then i-2 took over" in found.cause
    assert found.alike is None
    answered = [DISPATCH, SERVER_QUIET, SERVER_KEPT, SERVER_ANSWERED, ENDED_COMPLETED]
    found = trace.trace("c1", _read(tmp_path, a=answered))
    assert "silent for 1600 ms after event 3, then answered after all" in found.cause


def test_each_silence_of_a_request_is_told(tmp_path) -> None:
    """A server falls silent before its answer, goes on, and falls silent again."""
    first = SERVER_QUIET.replace("101.2", "100.3").replace("after=3", "after=-1")
    woken = SERVER_ANSWERED.replace("101.6", "100.4")
    lines = [DISPATCH, first, woken, SERVER_QUIET, ENDED_LATE]
    found = trace.trace("c1", _read(tmp_path, a=lines))
    assert "i-1 was silent for 1600 ms, then answered after all" in found.cause
    assert "i-1 had sent nothing for 2000 ms after event 3" in found.cause


def test_requests_that_ended_alike_are_counted(tmp_path) -> None:
    """Guards against a common cause that the lines of one request do not show."""
    alike = []
    for number, (instance, server) in enumerate(
        [("cq-1", "i-1"), ("cq-2", "i-1"), ("cq-3", "i-2")]
    ):
        line = ENDED_LATE.replace("cq-1", instance).replace("i-1", server)
        alike.append(line.replace("id=c1", f"id=d{number}"))
    earlier = ENDED_LATE.replace("102.0", "101.4").replace("id=c1", "id=e1")
    another = ENDED_LOST.replace("100.6", "102.0").replace("id=c1", "id=e2")
    lines = [DISPATCH, ENDED_LATE, *alike, earlier, another]
    found = trace.trace("c1", _read(tmp_path, a=lines))
    assert found.alike == trace.Alike(
        "deadline_exceeded", 3, {"cq-1": 1, "cq-2": 1, "cq-3": 1}, {"i-1": 2, "i-2": 1}
    )
    shown = trace.format_text(found)
    assert (
        "alike: 3 others ended with deadline_exceeded within 0.5 s of it; "
        "instances: cq-1 (1), cq-2 (1), cq-3 (1); servers: i-1 (2), i-2 (1)"
    ) in shown
    found = trace.trace("c1", _read(tmp_path, a=[DISPATCH, ENDED_LATE]))
    assert "no other request ended with deadline_exceeded" in trace.format_text(found)


def test_resumed_stream_shows_the_attempt_that_began_it(tmp_path) -> None:
    """Guards against a resumed stream whose first server is not to be found."""
    began = DISPATCH + " software=v1"
    resumes = (
        "at=101.0 event=stream_resumes instance=cq-2 id=c7 resumes=c1 after=3 "
        "software=v1 is_known=true versions=v1,v2"
    )
    refused = (
        "at=101.1 event=ended instance=cq-2 id=c7 outcome=not_run "
        "code=no_matching_servers status=503"
    )
    found = trace.trace("c7", _read(tmp_path, a=[began], b=[resumes, refused]))
    events = [line.event for line in found.lines]
    assert events == ["dispatch", "stream_resumes", "ended"]
    assert "began at v1" in found.cause
    assert "id=c1" in trace.format_text(found)


def test_json_lines_and_collector_prefixes_are_parsed() -> None:
    line = log_lines.parse('{"at": 1.5, "event": "ready", "instance": "cq-1", "n": 2}')
    assert line == log_lines.Line(1.5, "cq-1", "ready", {"n": "2"})
    line = log_lines.parse(f"   0.99 front-1 {SERVER_GONE}")
    assert line is not None and line.fields["server"] == "i-7"
    assert log_lines.parse("Traceback (most recent call last):") is None
    assert log_lines.parse("at=now event=x") is None


def test_unknown_id_and_missing_file_are_reported(tmp_path) -> None:
    assert trace.trace("c9", _read(tmp_path, a=[SHED])).cause.startswith("no line")
    with pytest.raises(exceptions.FileUnreadable):
        log_lines.read([str(tmp_path / "nothing.log")])


@pytest.mark.parametrize("cause", [*trace.UNANSWERED_CAUSES, "something_new"])
def test_end_without_an_answer_is_told_after_the_outcome(tmp_path, cause: str) -> None:
    """Guards against an outcome that says nothing of what its caller got."""
    unanswered = (
        "at=100.7 level=INFO event=unanswered instance=cq-1 id=c1 "
        f"cause={cause} dispatched=true status=200 server=i-1 after=3"
    )
    found = trace.trace(
        "c1", _read(tmp_path, a=[DISPATCH, ANSWER_CUT, ENDED_LOST, unanswered])
    )
    assert "i-1 broke off after event 3" in found.cause
    expected = trace.UNANSWERED_CAUSES.get(cause, cause)
    assert found.cause.endswith(expected)
    assert found.alike is not None
