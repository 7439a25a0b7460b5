"""docs/CAPACITY.md: what each role costs at the size that the fleet is to reach.

Run as ``python -m cassiaquay_dev.sizing.capacity`` after a slope was measured; with
``--check`` it writes nothing and exits 1 when the page is not up to date.
"""

import pathlib
import sys

from . import capacity_page, slopes

PAGE = pathlib.Path(__file__).parents[4] / "docs" / "CAPACITY.md"


def main(arguments: list[str]) -> int:
    """Write or check the page."""
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
