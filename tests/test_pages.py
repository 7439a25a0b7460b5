"""The pages under docs agree with the code: error codes, alarms, calls, named tests."""

import ast
import importlib
import pathlib
import pkgutil
import re
import types
import typing

import cassiaquay
import cassiaquay_cli
import cassiaquay_daemon
import cassiaquay_schema
from cassiaquay import exceptions as caller_exceptions
from cassiaquay_cli import exceptions as cli_exceptions
from cassiaquay_cli import silences as cli_silences
from cassiaquay_daemon import exceptions as daemon_exceptions
from cassiaquay_daemon.operators import refusals
from cassiaquay_schema import exceptions as schema_exceptions

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / "docs"
TABLES = {
    "What callers are told": daemon_exceptions.Refusal,
    "Inside the daemon": daemon_exceptions.DaemonError,
    "The operators' address": refusals.AdminRefusal,
    "Fleet texts and settings": schema_exceptions.SchemaError,
    "The command line": cli_exceptions.CommandError,
    "The caller package": caller_exceptions.CassiaquayError,
}
# Modules that need the development requirements.
DEVELOPMENT_MODULES = {"generate", "page"}


def _import_modules(package: types.ModuleType) -> None:
    for found in pkgutil.iter_modules(package.__path__):
        if found.name not in DEVELOPMENT_MODULES:
            importlib.import_module(f"{package.__name__}.{found.name}")


def _exception_classes(root: type[Exception]) -> list[type[Exception]]:
    found = [root]
    for kind in root.__subclasses__():
        found += _exception_classes(kind)
    return found


def _rows(page: str, title: str) -> list[list[str]]:
    section = re.search(rf"^## {re.escape(title)}$(.*?)(?=^## |\Z)", page, re.M | re.S)
    assert section, title
    rows = []
    for line in section[1].splitlines():
        if line.startswith("| `"):
            rows.append([cell.strip().strip("`") for cell in line.split("|")[1:-1]])
    return rows


def _attribute(kind: type[Exception], name: str) -> typing.Any:
    return getattr(kind, name)


def test_every_error_code_is_documented() -> None:
    for package in (cassiaquay, cassiaquay_cli, cassiaquay_daemon, cassiaquay_schema):
        _import_modules(package)
    page = (DOCS / "ERRORS.md").read_text()
    for title, root in TABLES.items():
        kinds = _exception_classes(root)
        if root is daemon_exceptions.DaemonError:
            described = _exception_classes(daemon_exceptions.Refusal)
            described += _exception_classes(refusals.AdminRefusal)
            kinds = [kind for kind in kinds if kind not in described]
        expected = sorted(_attribute(kind, "code") for kind in kinds)
        assert sorted(row[0] for row in _rows(page, title)) == expected, title


def test_documented_outcomes_statuses_and_exit_codes_match_the_code() -> None:
    page = (DOCS / "ERRORS.md").read_text()
    expected = set()
    for kind in _exception_classes(daemon_exceptions.Refusal):
        outcome = _attribute(kind, "outcome")
        status = str(int(_attribute(kind, "status")))
        expected.add((_attribute(kind, "code"), outcome, status))
    assert {tuple(row[:3]) for row in _rows(page, "What callers are told")} == expected
    expected = set()
    for kind in _exception_classes(refusals.AdminRefusal):
        status = str(int(_attribute(kind, "status")))
        expected.add((_attribute(kind, "code"), status))
    assert {tuple(row[:2]) for row in _rows(page, "The operators' address")} == expected
    expected = set()
    for kind in _exception_classes(cli_exceptions.CommandError):
        expected.add((_attribute(kind, "code"), str(_attribute(kind, "exit_code"))))
    assert {tuple(row[:2]) for row in _rows(page, "The command line")} == expected


def _alarms() -> set[str]:
    found = set()
    for path in (ROOT / "packages" / "daemon").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            if ast.unparse(node.func) != "logs.trouble":
                continue
            name = node.args[0]
            assert isinstance(name, ast.Constant), f"{path}: a name that varies"
            found.add(name.value)
    return found


def test_every_alarm_is_documented_with_an_action() -> None:
    page = (DOCS / "OPERATIONS.md").read_text()
    rows = _rows(page, "Alarms")
    assert {row[0] for row in rows} == _alarms()
    assert all(row[-1] for row in rows)


def test_every_cause_of_a_kept_server_is_documented() -> None:
    page = (DOCS / "OPERATIONS.md").read_text()
    rows = _rows(page, "Servers that fall silent")
    causes = {row[0] for row in rows if len(row) == 3}
    assert causes == set(cli_silences.KEPT_CAUSES)
    metrics_page = (DOCS / "METRICS.md").read_text()
    pattern = r"Causes of\s`cassiaquay_gateway_kept_servers_total`:(.*?)\. Causes"
    [listed] = re.findall(pattern, metrics_page, re.S)
    assert set(re.findall(r"`(\w+)`", listed)) == causes


def test_every_call_of_the_operators_address_is_documented() -> None:
    source = (
        ROOT / "packages" / "daemon" / "cassiaquay_daemon" / "operators" / "admin.py"
    ).read_text()
    paths = set(re.findall(r'"(/(?:v1/\w+|metrics))"', source))
    page = (DOCS / "OPERATIONS.md").read_text()
    listed = {row[0].split(" ")[1] for row in _rows(page, "The operators' address")}
    assert listed == paths


def test_tests_named_in_promises_exist() -> None:
    page = (DOCS / "PROMISES.md").read_text()
    named = re.findall(r"`(tests/\w+\.py)::(\w+)`", page)
    assert len(named) >= 8
    for path, name in named:
        assert f"def {name}(" in (ROOT / path).read_text(), f"{path}::{name}"
