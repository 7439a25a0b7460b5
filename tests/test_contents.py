"""The digest that all attempts of the same request share."""

from cassiaquay_daemon.gateway import calls

REQUEST = ("a.example", "POST", "/chat/7", "maths", b"body")


def test_attempts_of_the_same_request_have_the_same_content() -> None:
    """Guards against a repeat that is taken for another request."""
    assert calls.content(*REQUEST) == calls.content(*REQUEST)


def test_requests_that_differ_in_anything_have_other_contents() -> None:
    """Guards against a request that is judged by what another one did."""
    found = {calls.content(*REQUEST)}
    for place, value in enumerate(("b.example", "GET", "/chat/", "music", b"")):
        changed = list(REQUEST)
        changed[place] = value
        found.add(calls.content(*changed))
    found.add(calls.content("a.example", "POST", "/chat/7m", "aths", b"body"))
    assert len(found) == 7
