"""Model check: the ownership rules are sufficient, and each one is necessary."""

import pytest

from cassiaquay_dev.lab import ownership_model


def test_all_states_keep_the_promises() -> None:
    result = ownership_model.Ownership().check()
    assert result.violation is None, result.violation
    # Guards against a model that lacks a step and reaches only a few states.
    assert result.states == 340


@pytest.mark.parametrize("rule", ownership_model.RULES)
def test_each_rule_is_needed(rule: str) -> None:
    result = ownership_model.Ownership(without=rule).check()
    assert result.violation is not None
    assert result.violation.trace
