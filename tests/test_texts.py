"""Validation of settings and fleet texts: accepted, or refused with code and place."""

import pytest

from cassiaquay_daemon import daemon, names
from cassiaquay_daemon.configured import snapshots
from cassiaquay_dev import deployments
from cassiaquay_schema import exceptions, texts

# Imported because it registers policies and adapters.
REGISTERED = (daemon,)
DEPLOYMENT = deployments.BRINDLEY
NAMES = [item.name for item in [*DEPLOYMENT.engines, *DEPLOYMENT.plains]]
ADDRESSES = {name: f"127.0.0.1:{9000 + index}" for index, name in enumerate(NAMES)}
TEXT = deployments.fleet_text(DEPLOYMENT, ADDRESSES)

FAULTS = [
    ("rank = 0", "rank =", exceptions.SyntaxFault, ""),
    ("rank = 0", 'rank = "0"', exceptions.ShapeFault, "tiers.urgent.rank"),
    ("rank = 1", "rank = 0", exceptions.DuplicateFault, "tiers.interactive.rank"),
    ("weight = 1.0", "weigth = 1.0", exceptions.ShapeFault, "teams.feedback.weigth"),
    ("weight = 1.0", "weight = 0.0", exceptions.ShapeFault, "teams.feedback.weight"),
    (
        'name = "tutor-2"',
        "nome = 2",
        exceptions.ShapeFault,
        "pools.engines.servers[1].nome",
    ),
    (
        "deadline_ms = 5000",
        'deadline_ms = 5000\n[services."a.b"]\npool = 1\n',
        exceptions.ShapeFault,
        'services."a.b".pool',
    ),
    (
        'version = "1"',
        'version = "1"\nadapters = { lessons = 2 }',
        exceptions.ShapeFault,
        "models.tutor-7b.adapters.lessons",
    ),
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
        "pools.empty.servers",
    ),
]


def test_fleet_texts_of_all_deployments_are_accepted() -> None:
    for name in deployments.deployments.names():
        found = deployments.deployments.get(name)
        names = [item.name for item in [*found.engines, *found.plains]]
        addresses = {n: f"127.0.0.1:{9000 + i}" for i, n in enumerate(names)}
        fleet = texts.read_fleet(deployments.fleet_text(found, addresses))
        assert set(fleet.services) == {found.model_service, found.plain_service}


@pytest.mark.parametrize(("old", "new", "kind", "place"), FAULTS)
def test_invalid_fleet_text_is_refused(
    old: str, new: str, kind: type[exceptions.SchemaError], place: str
) -> None:
    assert old in TEXT
    with pytest.raises(kind) as caught:
        texts.read_fleet(TEXT.replace(old, new, 1))
    assert caught.value.place == place
    assert caught.value.accepted


SETTINGS = """\
instance = "a"
domain = "d"
keys = ["k"]
[platform]
configuration = "127.0.0.1:1"
instances = "127.0.0.1:1"
"""

SETTINGS_FAULTS = [
    ("port = 1", exceptions.ShapeFault, "port"),
    ("host = 1", exceptions.ShapeFault, "host"),
    ("operators = ['x']", exceptions.ShapeFault, "operators"),
    ("owner.token_seconds = 30.0", exceptions.LimitFault, "owner.token_seconds"),
    (
        "membership = { suspect_after = 0.5 }",
        exceptions.LimitFault,
        "membership.suspect_after",
    ),
    (
        "membership = { forget_after = 1.0 }",
        exceptions.LimitFault,
        "membership.forget_after",
    ),
    (
        "keeper = { lease_seconds = 1.0 }",
        exceptions.LimitFault,
        "keeper.lease_seconds",
    ),
]


@pytest.mark.parametrize(("line", "kind", "place"), SETTINGS_FAULTS)
def test_invalid_settings_are_refused(
    line: str, kind: type[exceptions.SchemaError], place: str
) -> None:
    assert texts.read_settings(SETTINGS).instance == "a"
    with pytest.raises(kind) as caught:
        texts.read_settings(f"{line}\n{SETTINGS}")
    assert caught.value.place == place
    assert caught.value.accepted


def test_error_for_an_unknown_key_lists_the_known_keys() -> None:
    with pytest.raises(exceptions.ShapeFault) as caught:
        texts.read_fleet(TEXT.replace("weight = 1.0", "weigth = 1.0", 1))
    assert "requests_per_second" in caught.value.accepted


@pytest.mark.parametrize(
    ("line", "place"),
    [
        ('keeper = { policy = "best" }', "keeper.policy"),
        ("", "platform.configuration_adapter"),
    ],
)
def test_settings_with_an_unregistered_name_are_refused(line: str, place: str) -> None:
    names.check_settings(texts.read_settings(SETTINGS))
    text = f"{line}\n{SETTINGS}"
    if not line:
        text += 'configuration_adapter = "etcd"\n'
    with pytest.raises(exceptions.NameFault) as caught:
        names.check_settings(texts.read_settings(text))
    assert caught.value.place == place
    assert "one of: " in caught.value.accepted


def test_fleet_text_with_an_unknown_adapter_is_refused() -> None:
    """Guards against a published text with an adapter that this daemon lacks.

    If it were accepted, each request to that pool would fail at its dispatch. The whole
    text is refused instead, and the previous revision stays in force.
    """
    assert snapshots.read(1, TEXT).revision == 1
    with pytest.raises(exceptions.NameFault) as caught:
        snapshots.read(2, TEXT.replace('"plain-http"', '"plain-grpc"'))
    assert caught.value.place == "pools.plain.adapter"
