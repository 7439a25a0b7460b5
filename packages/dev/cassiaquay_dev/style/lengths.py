"""Check that no source file has more than `MAX_LINES` lines.

Run as ``python -m cassiaquay_dev.style.lengths DIRECTORY [DIRECTORY ...]``; exits 1
when a file is longer. Generated code is not checked.
"""

import pathlib
import sys

MAX_LINES = 450
GENERATED_MARK = "# Generated"


def too_long(folder: pathlib.Path) -> list[str]:
    """Return a message for each Python file below ``folder`` that is too long."""
    found = []
    for path in sorted(folder.rglob("*.py")):
        text = path.read_text()
        if text.startswith(GENERATED_MARK):
            continue
        lines = text.count("\n")
        if lines > MAX_LINES:
            found.append(f"{path}: {lines} lines, more than {MAX_LINES}")
    return found


def main(folders: list[str]) -> int:
    """Check every folder; print findings and return the exit status."""
    findings = []
    for folder in folders:
        findings.extend(too_long(pathlib.Path(folder)))
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
