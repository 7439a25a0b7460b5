"""From a request's id to its cause, with log files alone."""

import pathlib

import pytest

from cassiaquay_cli import exceptions, log_lines, trace

DISPATCH = (
    "at=100.0 level=INFO event=dispatch instance=cq-1 id=c1 server=i-1 route=r/chat/ "
    "team=blue rank=0 number=1 waited_ms=2.1 configuration=62"
)
CUT = (
    "at=100.5 level=INFO event=answer_cut instance=cq-1 id=c1 server=i-1 "
    'cause="ClientPayloadError(\\"not enough data\\")" after=3 runs=1'
)
LOST = (
    "at=100.6 level=INFO event=ended instance=cq-1 id=c1 outcome=outcome_unknown "
    "code=answer_lost status=502"
)
SHED = (
    "at=99.9 level=INFO event=shed instance=cq-2 id=c2 shard=chat#0 rank=3 "
    "code=shed_overload waited_ms=310.5"
)
REFUSED = (
    "at=100.0 level=INFO event=ended instance=cq-1 id=c2 outcome=not_run "
    "code=shed_overload status=503 retry_after_ms=900"
)
GONE = "at=98.0 level=INFO event=server_gone instance=cq-2 server=i-7 missing_ms=0"
LONG_AGO = "at=90.0 level=INFO event=server_gone instance=cq-2 server=i-6 missing_ms=0"
ELSEWHERE = "at=99.0 level=INFO event=server_gone instance=cq-9 server=i-8 missing_ms=0"


def _read(folder: pathlib.Path, **files: list[str]) -> list[log_lines.Line]:
    paths = []
    for name, lines in files.items():
        path = folder / f"{name}.log"
        path.write_text("\n".join(lines))
        paths.append(str(path))
    return log_lines.read(paths)


def test_a_lost_answer_names_the_server_that_broke_off(tmp_path) -> None:
    found = trace.trace("c1", _read(tmp_path, a=[LOST, CUT, DISPATCH, SHED]))
    assert [line.event for line in found.lines] == ["dispatch", "answer_cut", "ended"]
    assert "i-1 broke off after event 3" in found.cause
    assert 'ClientPayloadError("not enough data")' in found.cause


def test_a_shed_request_leads_to_its_keeper_and_what_that_had_learned(tmp_path) -> None:
    """The keeper's lines are in another file; it had lost a server just before."""
    lines = _read(tmp_path, a=[REFUSED, ELSEWHERE], b=[GONE, SHED, LONG_AGO])
    found = trace.trace("c2", lines)
    assert "no slot in time in chat#0 for rank 3, given up by cq-2" in found.cause
    assert [line.fields["server"] for line in found.circumstances] == ["i-7"]
    shown = trace.format_text(found)
    assert "learned there shortly before" in shown
    assert "-1900.0" in shown


def test_without_the_keepers_file_it_says_so(tmp_path) -> None:
    found = trace.trace("c2", _read(tmp_path, a=[REFUSED]))
    assert "not in these files" in found.cause


@pytest.mark.parametrize(
    ("line", "said"),
    [
        ("code=limit_reached outcome=not_run retry_after_ms=400", "over its limit"),
        ("code=deadline_exceeded outcome=outcome_unknown", "before the deadline"),
        ("code=unauthorized outcome=not_run", "no team"),
        ("code=no_route outcome=not_run", "no route"),
        ("code=deadline_infeasible outcome=not_run", "before it was sent"),
        ("outcome=completed server=i-1", "nothing went wrong"),
        ("code=something_new outcome=failed", "something_new"),
    ],
)
def test_each_end_has_its_words(tmp_path, line: str, said: str) -> None:
    text = f"at=1.0 level=INFO event=ended instance=cq-1 id=c9 {line}"
    assert said in trace.trace("c9", _read(tmp_path, a=[text])).cause


def test_a_caller_that_left_is_told_with_what_had_happened(tmp_path) -> None:
    text = "at=1.0 event=caller_gone instance=cq-1 id=c9 sent=false ms=2399.8"
    found = trace.trace("c9", _read(tmp_path, a=[text]))
    assert "after 2399.8 ms; no server had it" in found.cause


def test_further_dispatches_belong_to_the_request(tmp_path) -> None:
    second = SHED.replace("id=c2", "id=c2.2")
    other = SHED.replace("id=c2", "id=c22")
    found = trace.trace("c2", _read(tmp_path, a=[second, other, REFUSED]))
    assert len(found.lines) == 2


def test_lines_of_json_and_of_collectors_are_read() -> None:
    line = log_lines.parse('{"at": 1.5, "event": "ready", "instance": "cq-1", "n": 2}')
    assert line == log_lines.Line(1.5, "cq-1", "ready", {"n": "2"})
    line = log_lines.parse(f"   0.99 front-1 {GONE}")
    assert line is not None and line.fields["server"] == "i-7"
    assert log_lines.parse("Traceback (most recent call last):") is None
    assert log_lines.parse("at=now event=x") is None


def test_an_unknown_id_and_a_missing_file_are_said(tmp_path) -> None:
    assert trace.trace("c9", _read(tmp_path, a=[SHED])).cause.startswith("no line")
    with pytest.raises(exceptions.FileUnreadable):
        log_lines.read([str(tmp_path / "nothing.log")])
