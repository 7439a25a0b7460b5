"""Content digest that identifies a request across retries."""

from cassiaquay_daemon.decisions import contents

REQUEST = ["a.example", "POST", "/chat/7", "maths"]
BODY = b"body"


def test_equal_requests_have_equal_digests() -> None:
    """Guards against a retry that is mistaken for another request."""
    assert contents.digest(REQUEST, BODY) == contents.digest(list(REQUEST), BODY)


def test_requests_that_differ_in_any_part_have_different_digests() -> None:
    """Guards against a request that is held for the crashes of another one."""
    digests = {contents.digest(REQUEST, BODY), contents.digest(REQUEST, b"")}
    for index, value in enumerate(("b.example", "GET", "/chat/", "music")):
        changed = list(REQUEST)
        changed[index] = value
        digests.add(contents.digest(changed, BODY))
    digests.add(contents.digest(["a.example", "POST", "/chat/7m", "aths"], BODY))
    assert len(digests) == 7
