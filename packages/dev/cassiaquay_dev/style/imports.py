"""Check that modules are imported, not names.

``from . import keeper`` and ``import typing`` pass; ``from typing import NamedTuple``
does not. Generated code and ``__future__`` are not checked.

Run as ``python -m cassiaquay_dev.style.imports DIRECTORY [DIRECTORY ...]``; exits 1
when a name is imported.
"""

import ast
import importlib.util
import pathlib
import sys
import typing

GENERATED_MARK = "# Generated"


class Finding(typing.NamedTuple):
    """One imported name: its file, line number and text."""

    path: pathlib.Path
    line: int
    text: str


def is_module(base: str, name: str) -> bool:
    """Return whether ``name`` is a module of the package ``base``."""
    try:
        return importlib.util.find_spec(f"{base}.{name}") is not None
    except (ImportError, AttributeError, ValueError):
        return False


def is_sibling_module(path: pathlib.Path, node: ast.ImportFrom, name: str) -> bool:
    """Return whether a relative import in ``path`` imports a module or package."""
    folder = path.parent
    for _ in range(node.level - 1):
        folder = folder.parent
    if node.module:
        folder = folder.joinpath(*node.module.split("."))
    return folder.joinpath(f"{name}.py").exists() or folder.joinpath(name).is_dir()


def check_file(path: pathlib.Path) -> list[Finding]:
    """Return the imports of one file that import a name, not a module."""
    text = path.read_text()
    if text.startswith(GENERATED_MARK):
        return []
    findings = []
    for node in ast.walk(ast.parse(text, str(path))):
        if not isinstance(node, ast.ImportFrom) or node.module == "__future__":
            continue
        for alias in node.names:
            if node.level:
                found = is_sibling_module(path, node, alias.name)
            else:
                found = is_module(node.module or "", alias.name)
            if not found:
                line = f"from {'.' * node.level}{node.module or ''} import {alias.name}"
                findings.append(Finding(path, node.lineno, line))
    return findings


def main(folders: list[str]) -> int:
    """Check every Python file below ``folders``; print findings, return the status."""
    findings = []
    for folder in folders:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            findings.extend(check_file(path))
    for finding in findings:
        print(f"{finding.path}:{finding.line}: imports a name: {finding.text}")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
