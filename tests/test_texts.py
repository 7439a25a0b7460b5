"""Settings and fleet texts are accepted whole or refused with code and place."""

import pytest

from cassiaquay_dev import deployments
from cassiaquay_schema import exceptions, texts

DEPLOYMENT = deployments.BRINDLEY
NAMES = [item.name for item in [*DEPLOYMENT.engines, *DEPLOYMENT.plains]]
ADDRESSES = {name: f"127.0.0.1:{9000 + index}" for index, name in enumerate(NAMES)}
TEXT = deployments.fleet_text(DEPLOYMENT, ADDRESSES)

FAULTS = [
    ("rank = 0", "rank =", exceptions.SyntaxFault, ""),
    ("rank = 0", 'rank = "0"', exceptions.ShapeFault, "tiers[...].rank"),
    ("rank = 1", "rank = 0", exceptions.DuplicateFault, "tiers.interactive.rank"),
    ("weight = 1.0", "weigth = 1.0", exceptions.ShapeFault, "teams[...]"),
    ("weight = 1.0", "weight = 0.0", exceptions.ShapeFault, "teams[...].weight"),
    (
        'name = "tutor-2"',
        'name = "tutor-1"',
        exceptions.DuplicateFault,
        "pools.engines.servers[1]",
    ),
    (
        'pool = "plain"',
        'pool = "plains"',
        exceptions.ReferenceFault,
        "services.bookings-app.pool",
    ),
    (
        'depends_on = ["bookings-app"]',
        'depends_on = ["booking"]',
        exceptions.ReferenceFault,
        "services.tutor-assist.depends_on",
    ),
    (
        "deadline_ms = 5000",
        'deadline_ms = 5000\ndepends_on = ["tutor-assist"]',
        exceptions.CycleFault,
        "services.bookings-app.depends_on",
    ),
    (
        'pool = "plain"',
        'pool = "empty"\n[pools.empty]\nservers = []\n',
        exceptions.ShapeFault,
        "pools[...].servers",
    ),
]


def test_accepts_the_deployments() -> None:
    for name in deployments.deployments.names():
        found = deployments.deployments.get(name)
        names = [item.name for item in [*found.engines, *found.plains]]
        addresses = {n: f"127.0.0.1:{9000 + i}" for i, n in enumerate(names)}
        fleet = texts.read_fleet(deployments.fleet_text(found, addresses))
        assert set(fleet.services) == {found.model_service, found.plain_service}


@pytest.mark.parametrize(("old", "new", "kind", "place"), FAULTS)
def test_refuses(
    old: str, new: str, kind: type[exceptions.SchemaError], place: str
) -> None:
    assert old in TEXT
    with pytest.raises(kind) as caught:
        texts.read_fleet(TEXT.replace(old, new, 1))
    assert caught.value.place == place
    assert caught.value.accepted


def test_settings_refuse_an_unknown_key() -> None:
    text = 'instance = "a"\ndomain = "d"\nkeys = ["k"]\nport = 1\n'
    text += '[platform]\nconfiguration = "127.0.0.1:1"\ninstances = "127.0.0.1:1"\n'
    with pytest.raises(exceptions.ShapeFault):
        texts.read_settings(text)
    assert texts.read_settings(text.replace("port = 1\n", "")).instance == "a"
