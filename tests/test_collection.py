"""Collection of tests while finalizers of collected garbage run."""

import os
import pathlib
import subprocess
import sys

CONFTEST = pathlib.Path(__file__).parent / "conftest.py"
# Objects in reference cycles whose finalizer parses a line and leaves the next garbage.
FINALIZERS = """
import ast
import gc


class Cycle:
    def __init__(self):
        self.itself = self

    def __del__(self):
        ast.parse("x = 1")
        Cycle()


Cycle()
gc.set_threshold(50, 1, 1)


def test_nothing():
    pass
"""
LONG_MODULE = "\n".join(
    f"def test_{number}(a=1):\n    assert [a + {number} for _ in range({number})] != a"
    for number in range(200)
)


def test_finalizers_that_parse_do_not_fail_the_collection(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against "AST constructor recursion depth mismatch" from CPython 3.11."""
    (tmp_path / "KNOWN-RED.txt").write_text("")
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "conftest.py").write_text(CONFTEST.read_text())
    (tests / "test_1.py").write_text(FINALIZERS)
    (tests / "test_2.py").write_text(LONG_MODULE)
    found = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "-q", str(tests)],
        capture_output=True,
        text=True,
        cwd=tmp_path,
        env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
        check=False,
    )
    assert found.returncode == 0, found.stderr[-2000:]
