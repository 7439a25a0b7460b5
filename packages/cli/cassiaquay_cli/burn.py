"""``cassiaquay burn``: burn rates of the error budgets of service-level objectives."""

import pathlib

from cassiaquay_schema import bodies

from . import burn_page, burn_sums, clients, commands, exceptions, outputs


def format_text(report: burn_sums.Report) -> str:
    """Format the report as text."""
    rows = []
    for item in report["objectives"]:
        rates = [burn_page.format_rate(window["rate"]) for window in item["windows"]]
        objective = f"{item['share']:.2%} in {item['within_ms']} ms"
        row = [item["service"], item["tier"], objective, *rates]
        rows.append(
            [*row, burn_page.format_budget_left(item["budget_left"]), item["verdict"]]
        )
    names = [*burn_sums.FAST_WINDOWS, *burn_sums.SLOW_WINDOWS]
    header = ["service", "tier", "objective", *names, "budget left", "verdict"]
    parts = [outputs.table(header, rows) if rows else "no objectives are configured"]
    burners = []
    for item in report["objectives"]:
        for burner in item["burners"]:
            bad = f"{burner['bad']} of {burner['total']}"
            row = [item["service"], item["tier"], burner["axis"], burner["name"]]
            burners.append([*row, bad, f"{burner['part']:.0%}"])
    if burners:
        header = ["service", "tier", "by", "name", "bad requests", "part of all bad"]
        parts.append(outputs.table(header, burners))
    parts.append(
        f"{report['instances']} instances answered; {report['excluded']} requests not"
        " counted (no objective, the team's own limit, or given up by the caller"
        " before the objective's time)"
    )
    missing = burn_page.missing_lines(report)
    if missing:
        parts.append("\n".join(missing))
    return "\n\n".join(parts)


@commands.commands.register("burn")
def burn(at: str = "", html: str = "", json: bool = False) -> outputs.Shown:
    """Show burn rates, remaining error budgets and the largest burners.

    Exits 7 when an objective burns too fast or its budget is spent, 6 when instances
    did not respond.

    Parameters
    ----------
    at : str
        Operators' address of any instance; CASSIAQUAY_ADMIN otherwise.
    html : str
        Also write a self-contained page with plots to this path.
    json : bool
        Print JSON.
    """

    async def work(client: clients.Client) -> outputs.Output:
        instances = await client.instances()
        collected = await client.collect("/v1/burn", bodies.Burn, instances)
        report = burn_sums.report(collected)
        if html:
            _write_file(str(html), burn_page.render(report))
        code = outputs.EXIT_PARTIAL if collected.missing else outputs.EXIT_COMPLETE
        if burn_sums.is_burning(report):
            code = outputs.EXIT_BURNING
        return outputs.Output(format_text(report), report, code)

    return outputs.show(commands.run(at, work), json)


def _write_file(path: str, text: str) -> None:
    try:
        pathlib.Path(path).write_text(text)
    except OSError as error:
        raise exceptions.FileUnreadable(f"{path}: {error}") from error
