"""Estimated lengths of prompts and answers, which each owner learns from its requests.

The estimates go into every demand: its tokens decide whether it fits on an engine, its
team's fair share, its size class and whether it can be in time. A caller's
``max_tokens`` is only an upper bound.
"""

import collections

MIN_SAMPLE_WEIGHT = 0.1
# Pairs of service and team with a ratio of their own; the rest use the service's mean.
MAX_PAIRS = 256
# Samples after which a pair's own ratio replaces the service's mean.
MIN_PAIR_SAMPLES = 5


class Ratio:
    """A moving average of the ratio of measured to expected length."""

    def __init__(self) -> None:
        self.value = 1.0
        self.samples = 0

    def learn(self, sample: float) -> None:
        """Add a sample to the average."""
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self.samples)
        self.value += weight * (sample - self.value)


class Lengths:
    """Ratios of measured to stated length by service, and by service and team."""

    def __init__(self) -> None:
        self._prompts: dict[str, Ratio] = {}
        self._answers: dict[str, Ratio] = {}
        self._pairs: collections.OrderedDict[tuple[str, str], Ratio]
        self._pairs = collections.OrderedDict()

    def prompt_tokens(self, service: str, stated: int) -> int:
        """Return the estimated tokens of a prompt that has ``stated`` by characters."""
        ratio = self._prompts.get(service)
        return stated if ratio is None else max(round(stated * ratio.value), 1)

    def output_tokens(self, service: str, team: str, max_tokens: int) -> int:
        """Return the estimated tokens of an answer that has at most ``max_tokens``."""
        ratio = self._pairs.get((service, team))
        if ratio is None or ratio.samples < MIN_PAIR_SAMPLES:
            ratio = self._answers.get(service)
        if ratio is None:
            return max_tokens
        return min(max(round(max_tokens * ratio.value), 1), max_tokens)

    def learn_prompt(self, service: str, stated: int, measured: int) -> None:
        """Learn from a prompt's number of tokens as the engine counted them."""
        if stated > 0 and measured > 0:
            self._prompts.setdefault(service, Ratio()).learn(measured / stated)

    def learn_answer(
        self, service: str, team: str, max_tokens: int, measured: int
    ) -> None:
        """Learn from the number of tokens of a complete answer."""
        if max_tokens <= 0 or measured <= 0:
            return
        sample = measured / max_tokens
        self._answers.setdefault(service, Ratio()).learn(sample)
        key = (service, team)
        if key not in self._pairs:
            self._pairs[key] = Ratio()
        self._pairs.move_to_end(key)
        self._pairs[key].learn(sample)
        # There may be thousands of teams; the least recently updated pair is removed.
        if len(self._pairs) > MAX_PAIRS:
            self._pairs.popitem(last=False)
