"""Tests of the capacity page, which is computed from the measured slopes."""

import datetime
import pathlib

import pytest

from cassiaquay_dev.sizing import capacity, capacity_page, capacity_roles, slopes

SIZE = capacity_roles.Size()


def _slope(value: float) -> slopes.Slope:
    return slopes.Slope(value=value, command="c", date=datetime.date(2026, 1, 2))


def test_capacity_page_is_up_to_date() -> None:
    assert capacity.main(["--check"]) == 0


def test_loads_are_derived_from_target_size() -> None:
    assert pytest.approx(204.5, abs=0.1) == SIZE.tokens_per_request
    assert pytest.approx(17.1, abs=0.1) == SIZE.seconds_per_request
    assert SIZE.shards == 48


def test_unmeasured_slopes_are_reported_as_not_measured() -> None:
    page = capacity_page.render({})
    assert page.count("| not measured |") > len(slopes.DEFINITIONS)
    for name in capacity_roles.roles.names():
        cost = capacity_roles.roles.get(name).cost(SIZE, {})
        assert None in cost
        assert not any(cost)


def test_slope_changes_role_cost_and_shortfall() -> None:
    name = "renewal_wire_bytes_per_item"
    role = capacity_roles.roles.get("4 renewals at that keeper")
    one = role.cost(SIZE, {name: _slope(1.0)}).wire
    ten = role.cost(SIZE, {name: _slope(10.0)}).wire
    assert one is not None
    assert ten == pytest.approx(10 * one)
    assert "renewals within" in capacity_page.render({name: _slope(100.0)})
    assert "renewals within" not in capacity_page.render({name: _slope(0.1)})


def test_slopes_read_back_as_written(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "slopes.toml"
    path.write_text("# head\n")
    found = {"base_bytes": _slope(2.5e7), "member_bytes": _slope(0.125)}
    slopes.write(found, path)
    assert slopes.read(path) == found
    assert path.read_text().startswith("# head\n")
    path.write_text('[height]\nvalue = 1.0\ncommand = "c"\ndate = 2026-01-02\n')
    with pytest.raises(ValueError, match="height"):
        slopes.read(path)
