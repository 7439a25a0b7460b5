"""Order of configuration texts when the platform returns from a copy."""

import asyncio

import fleets
import hypothesis
import mesh_fakes
import policy_fakes as fakes
import pytest
import restored_fakes as restored
from hypothesis import strategies

from cassiaquay_daemon import platform
from cassiaquay_daemon.fleet import configuration
from cassiaquay_dev.sizing import light
from cassiaquay_schema import messages

NAMES = mesh_fakes.NAMES


class Fleet(mesh_fakes.Mesh):
    """The configurations of three instances, and the text that the platform shows."""

    def __init__(self) -> None:
        super().__init__()
        self.published = light.Published()
        self.configured: dict[str, configuration.Configuration] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance, or replace it by one that knows nothing."""
        known = configuration.Configuration(fakes.settings(name), self.wires[name])
        self.configured[name] = known
        self.members[name].heartbeat_callbacks = [known.handle_heartbeat]

    def read(self, name: str) -> None:
        """Make an instance read the platform."""
        asyncio.run(self.configured[name].read_once(self.published))

    def send_heartbeats(self, sender: str) -> None:
        """Queue the heartbeats of an instance."""
        text = self.configured[sender].version_in_force
        beat = messages.Heartbeat(
            1,
            text.revision,
            text.digest,
            [],
            [],
            0,
            text_number=text.number,
            epoch=text.epoch,
        )
        self.send_heartbeat(sender, beat)

    def exchange(self) -> None:
        """Let all instances read, and learn from each other."""
        for name in NAMES:
            self.read(name)
        for name in NAMES:
            self.send_heartbeats(name)
            self.deliver()

    def texts(self) -> set[str]:
        """Return the texts in force."""
        found = set()
        for known in self.configured.values():
            found.add(known.current.text if known.current else "")
        return found


class Operator:
    """Publishes texts on a platform that can return from a copy."""

    def __init__(self, fleet: Fleet, numbers: bool):
        self.newest = 0
        self._published = fleet.published
        self._numbers = numbers
        self._revision = 0
        self.publish()
        self.copy()

    def publish(self) -> None:
        """Publish the next text."""
        self.newest += 1
        self.rewrite()

    def rewrite(self) -> None:
        """Publish the newest text again."""
        self._revision += 1
        self._show(self._revision, self.newest, self._published.epoch)

    def copy(self) -> None:
        """Make a copy of the platform."""
        self._copy = (self._published.revision, self._shown)

    def restore(self) -> None:
        """Return from the copy."""
        self._revision, shown = self._copy
        self._show(self._revision, shown, self._published.epoch + 1)

    def _show(self, revision: int, number: int, epoch: int) -> None:
        self._shown = number
        text = fleets.text(number)
        self._published.publish(revision, text, epoch, number if self._numbers else 0)


def _fleet(numbers: bool) -> tuple[Fleet, Operator]:
    fleet = Fleet()
    operator = Operator(fleet, numbers)
    fleet.exchange()
    return fleet, operator


@pytest.mark.parametrize("numbers", [True, False])
@pytest.mark.parametrize("place", restored.ALL_PLACES)
def test_a_copy_neither_reverts_nor_delays_a_text(place: int, numbers: bool) -> None:
    """Guards against an older text in force, and a newer one out of force."""
    with fakes.Time().used():
        fleet, operator = _fleet(numbers)
        operator.copy()
        operator.publish()
        operator._revision += restored.LOST_REVISIONS
        operator.rewrite()
        fleet.exchange()
        highest = operator._revision
        operator.restore()
        fleet.exchange()
        assert fleet.texts() == {fleets.text(2)}
        operator._revision = highest + place - 1
        operator.publish()
        fleet.exchange()
        assert fleet.texts() == {fleets.text(3)}


def test_a_revision_that_was_refused_may_carry_a_sound_text() -> None:
    """Guards against refusing a sound text for the revision of an invalid one."""
    with fakes.Time().used():
        fleet, _ = _fleet(False)
        fleet.published.publish(2, fleets.invalid_text())
        fleet.exchange()
        fleet.published.publish(2, fleets.text(2), 1)
        fleet.exchange()
        assert fleet.texts() == {fleets.text(2)}


def test_a_text_whose_number_cannot_be_read_is_refused_with_a_log(caplog) -> None:
    """Guards against ignoring an invalid text without a trace."""
    with fakes.Time().used():
        fleet, _ = _fleet(True)
        fleet.published.publish(2, "{", 0, None)
        fleet.read("cq-1")
        assert "configuration_rejected" in caplog.messages
        assert fleet.texts() == {fleets.text(1)}


def test_other_content_of_one_number_in_a_new_epoch_wins() -> None:
    """Guards against instances that keep different texts of one number."""
    with fakes.Time().used():
        fleet, _ = _fleet(True)
        fleet.published.publish(1, fleets.text(7), 1, 1)
        fleet.read("cq-2")
        fleet.send_heartbeats("cq-2")
        fleet.deliver()
        assert fleet.texts() == {fleets.text(7)}


def test_a_text_written_again_unchanged_is_not_sent_again() -> None:
    """Guards against sending a large text to all instances at each return."""
    with fakes.Time().used():
        fleet, operator = _fleet(True)
        operator.copy()
        operator.restore()
        operator.rewrite()
        fleet.read("cq-1")
        fleet.send_heartbeats("cq-1")
        queries = [item for _, _, item in fleet.queue]
        fleet.deliver()
        assert not any(isinstance(one, messages.ConfigurationQuery) for one in queries)
        versions = {known.newest_version for known in fleet.configured.values()}
        assert len(versions) == 1


def test_a_text_that_the_platform_has_lost_raises_an_alarm(caplog) -> None:
    """Guards against a text that is lost without an alarm."""
    with fakes.Time().used() as time:
        fleet, operator = _fleet(True)
        operator.copy()
        operator.publish()
        fleet.exchange()
        operator.restore()
        fleet.exchange()
        time.now += configuration.LOST_TEXT_SECONDS
        assert "configuration_lost" not in caplog.messages
        fleet.exchange()
        assert "configuration_lost" in caplog.messages


def test_fencing_numbers_do_not_go_back() -> None:
    """Guards against engines that refuse all orders after a return."""
    with fakes.Time().used():
        for numbers in (True, False):
            fleet, operator = _fleet(numbers)
            operator.copy()
            operator._revision += restored.LOST_REVISIONS
            operator.publish()
            fleet.exchange()
            before = fleet.configured["cq-1"].current.fence
            operator.restore()
            operator.publish()
            fleet.exchange()
            assert fleet.configured["cq-1"].current.fence > before


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["read", "read", "beat", "deliver", "publish", "copy", "restore"]
            + ["rewrite", "start"]
        ),
        strategies.sampled_from(NAMES),
    ),
    max_size=40,
)


def _apply_step(kind: str, name: str, fleet: Fleet, operator: Operator) -> None:
    if kind == "read":
        fleet.read(name)
    elif kind == "beat":
        fleet.send_heartbeats(name)
    elif kind == "deliver":
        fleet.deliver(paused=name)
    elif kind == "start":
        fleet.start(name)
    else:
        getattr(operator, kind)()


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(STEPS)
def test_no_text_goes_back_in_one_life_and_all_reach_the_newest(steps) -> None:
    """Guards against reverted texts, and texts that never come into force."""
    with fakes.Time().used() as time:
        fleet, operator = _fleet(True)
        highest = dict.fromkeys(NAMES, 0)
        for kind, name in steps:
            _apply_step(kind, name, fleet, operator)
            if kind == "start":
                highest[name] = 0
            time.now += 0.3
            for instance, known in fleet.configured.items():
                number = known.current.number if known.current else 0
                assert number >= highest[instance]
                highest[instance] = number
        operator.rewrite()
        for _ in range(3):
            time.now += 1.0
            fleet.exchange()
        assert fleet.texts() == {fleets.text(operator.newest)}


def test_published_positions_compare_by_epoch_first() -> None:
    """Guards against taking a higher revision of a former epoch for newer."""
    former = platform.Published(99, "", 1).position
    assert platform.Published(5, "", 2).position > former
