"""Tests listed in KNOWN-RED.txt run, are printed and do not fail the run.

A line of that file begins with the test's node id, then a tab or two blanks, then
cause and issue. More than three lines, or a line that names no test, fail the run.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def known_red() -> dict[str, str]:
    """Return causes by node id."""
    found = {}
    for line in KNOWN_RED.read_text().splitlines():
        if not line.startswith("tests/"):
            continue
        node, _, cause = line.partition("  ")
        found[node.strip()] = cause.strip()
    return found


def pytest_report_header() -> list[str]:
    """Print what is known to fail."""
    return [f"known red: {node}: {cause}" for node, cause in known_red().items()]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Let exactly the listed tests fail."""
    listed = known_red()
    if len(listed) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt lists more than {MOST} tests")
    there = {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for node in listed:
        if node not in there and node.partition("::")[0] in files:
            if not config.option.keyword and not _names_nodes(config):
                raise pytest.UsageError(f"KNOWN-RED.txt names no test: {node}")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid]))


def _names_nodes(config: pytest.Config) -> bool:
    return any("::" in argument for argument in config.args)
