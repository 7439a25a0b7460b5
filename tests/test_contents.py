"""The digest that all attempts of the same request share."""

from cassiaquay_daemon.decisions import contents

REQUEST = ["a.example", "POST", "/chat/7", "maths"]
BODY = b"body"


def test_attempts_of_the_same_request_have_the_same_content() -> None:
    """Guards against a repeat that is taken for another request."""
    assert contents.digest(REQUEST, BODY) == contents.digest(list(REQUEST), BODY)


def test_requests_that_differ_in_anything_have_other_contents() -> None:
    """Guards against a request that is judged by what another one did."""
    found = {contents.digest(REQUEST, BODY), contents.digest(REQUEST, b"")}
    for place, value in enumerate(("b.example", "GET", "/chat/", "music")):
        changed = list(REQUEST)
        changed[place] = value
        found.add(contents.digest(changed, BODY))
    found.add(contents.digest(["a.example", "POST", "/chat/7m", "aths"], BODY))
    assert len(found) == 7
