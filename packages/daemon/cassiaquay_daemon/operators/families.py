"""The definition of a metric: its name, kind, labels and meaning."""

import typing

Key = tuple[str, ...]


class Family(typing.NamedTuple):
    """Definition of one metric.

    Attributes
    ----------
    name : str
        Name that ends in the unit, by the Prometheus conventions.
    kind : str
        ``counter``, ``gauge`` or ``histogram``.
    labels : tuple of str
        Names of the labels.
    doc : str
        Meaning of the metric.
    buckets : tuple of float
        Upper bounds, for histograms.
    """

    name: str
    kind: str
    labels: Key
    doc: str
    buckets: tuple[float, ...] = ()
