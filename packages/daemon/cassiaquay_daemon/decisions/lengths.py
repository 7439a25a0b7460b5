"""How long prompts and answers are, learned by each owner from its own requests.

Used for every demand: its tokens decide about room on an engine, fairness, size class
and whether it can be in time. A caller's ``max_tokens`` is only an upper bound.
"""

import collections

WEIGHT = 0.1
# Pairs of service and team that are told apart; the rest share their service's mean.
MOST_PAIRS = 256
# More samples than this are not needed before a pair stands for itself.
OWN_SAMPLES = 5


class Ratio:
    """A moving mean of measured over expected."""

    def __init__(self) -> None:
        self.value = 1.0
        self.samples = 0

    def learn(self, sample: float) -> None:
        """Take in a sample."""
        self.samples += 1
        weight = max(WEIGHT, 1.0 / self.samples)
        self.value += weight * (sample - self.value)


class Lengths:
    """Ratios of measured to stated lengths by service, and by service and team."""

    def __init__(self) -> None:
        self._prompts: dict[str, Ratio] = {}
        self._answers: dict[str, Ratio] = {}
        self._pairs: collections.OrderedDict[tuple[str, str], Ratio]
        self._pairs = collections.OrderedDict()

    def prompt_tokens(self, service: str, stated: int) -> int:
        """Return the estimate for a prompt that counts ``stated`` by its characters."""
        ratio = self._prompts.get(service)
        return stated if ratio is None else max(round(stated * ratio.value), 1)

    def output_tokens(self, service: str, team: str, most: int) -> int:
        """Return the estimate for an answer of at most ``most`` tokens."""
        ratio = self._pairs.get((service, team))
        if ratio is None or ratio.samples < OWN_SAMPLES:
            ratio = self._answers.get(service)
        if ratio is None:
            return most
        return min(max(round(most * ratio.value), 1), most)

    def learn_prompt(self, service: str, stated: int, measured: int) -> None:
        """Take in how many tokens a prompt had by the engine's count."""
        if stated > 0 and measured > 0:
            self._prompts.setdefault(service, Ratio()).learn(measured / stated)

    def learn_answer(self, service: str, team: str, most: int, measured: int) -> None:
        """Take in how many tokens a whole answer had."""
        if most <= 0 or measured <= 0:
            return
        sample = measured / most
        self._answers.setdefault(service, Ratio()).learn(sample)
        key = (service, team)
        if key not in self._pairs:
            self._pairs[key] = Ratio()
        self._pairs.move_to_end(key)
        self._pairs[key].learn(sample)
        # Teams come and go by the thousand; those that ask most stay.
        if len(self._pairs) > MOST_PAIRS:
            self._pairs.popitem(last=False)
