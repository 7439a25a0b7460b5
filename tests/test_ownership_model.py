"""The ownership rules keep the promises in every state, and each rule is needed."""

import pytest

from cassiaquay_dev.lab import ownership_model


def test_all_states_keep_the_promises() -> None:
    found = ownership_model.Ownership().check()
    assert found.violation is None, found.violation
    # All of them, not the few that a model with a step missing would reach.
    assert found.states == 340


@pytest.mark.parametrize("rule", ownership_model.RULES)
def test_each_rule_is_needed(rule: str) -> None:
    found = ownership_model.Ownership(without=rule).check()
    assert found.violation is not None
    assert found.violation.trace
