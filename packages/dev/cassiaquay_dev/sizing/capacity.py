"""Generate docs/CAPACITY.md: the cost of each role at the target size of the fleet.

Run ``python -m cassiaquay_dev.sizing.capacity`` after measuring a slope (the cost per
unit of load). With ``--check`` it writes nothing and exits with status 1 if the page
is out of date.
"""

import pathlib
import sys

from . import capacity_page, slopes

PAGE = pathlib.Path(__file__).parents[4] / "docs" / "CAPACITY.md"


def main(arguments: list[str]) -> int:
    """Write the page, or only compare it with the file on ``--check``."""
    text = capacity_page.render(slopes.read())
    if PAGE.exists() and PAGE.read_text() == text:
        return 0
    if "--check" in arguments:
        print("CAPACITY.md is not up to date: run `make generate`")
        return 1
    PAGE.write_text(text)
    print(f"wrote {PAGE.name}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
