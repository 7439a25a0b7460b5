"""The command ``cassiaquay``."""

import sys

import fire

from . import differences, exceptions, files


class Commands:
    """Operate a fleet of cassiaquay daemons."""

    def check(self, file: str) -> str:
        """Check a fleet text whole, without a fleet.

        Parameters
        ----------
        file : str
            Path of the text.
        """
        found = files.read_fleet(file)
        servers = sum(len(pool.servers) for pool in found.pools.values())
        return (
            f"accepted: {len(found.services)} services, {len(found.pools)} pools,"
            f" {servers} backend servers, {len(found.tiers)} tiers,"
            f" {len(found.teams)} teams"
        )

    def diff(self, old: str, new: str) -> str:
        """Show what a new fleet text would change.

        Parameters
        ----------
        old, new : str
            Paths of the texts.
        """
        found = differences.between(files.read_fleet(old), files.read_fleet(new))
        lines = []
        for item in found:
            before, after = item.before or "(none)", item.after or "(none)"
            lines.append(f"{item.place}: {before} -> {after}")
        return "\n".join(lines) or "no difference"


def run() -> None:
    """Read the command line."""
    try:
        fire.Fire(Commands, name="cassiaquay")
    except exceptions.CommandError as error:
        print(f"cassiaquay: {error.code}: {error}", file=sys.stderr)
        raise SystemExit(error.exit_code) from error


if __name__ == "__main__":
    run()
