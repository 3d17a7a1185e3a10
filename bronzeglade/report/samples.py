"""Samples read from the nodes' metrics pages."""

import dataclasses
from collections import defaultdict
from collections.abc import Iterable, Mapping

from prometheus_client.parser import text_string_to_metric_families

Key = tuple[tuple[str, str], ...]  # labels in order of name


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A sample of one node."""

    name: str
    labels: Mapping[str, str]
    value: float  # noqa: WPS110


@dataclasses.dataclass(frozen=True, slots=True)
class NodePage:
    """What one node said, or why it could not be read."""

    node: str
    samples: tuple[Sample, ...] = ()
    error: str = ''


def parse(node: str, text: str) -> NodePage:
    """Read a metrics page.

    Args:
      node: whose page it is.
      text: Prometheus text format.

    Returns:
      The page; a page that cannot be read carries an error.
    """
    try:
        samples = tuple(
            Sample(sample.name, sample.labels, sample.value)
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name.startswith('bronzeglade_')
        )
    except ValueError as error:
        return NodePage(node, error=f'unreadable metrics: {error}')
    return NodePage(node, samples)


def add_up(
    pages: Iterable[NodePage], name: str, labels: tuple[str, ...]
) -> dict[tuple[str, ...], float]:
    """Add a metric over nodes.

    Args:
      pages: of all nodes.
      name: name of the samples.
      labels: labels that are kept; the others are added up.

    Returns:
      Sums by the values of the kept labels.
    """
    sums: dict[tuple[str, ...], float] = defaultdict(float)
    for page in pages:
        for sample in page.samples:
            if sample.name == name:
                kept = tuple(sample.labels.get(label, '') for label in labels)
                sums[kept] += sample.value
    return dict(sums)


def percentile(buckets: Mapping[float, float], part: float) -> float | None:
    """Return a percentile of a histogram.

    Args:
      buckets: cumulative counts by upper bound; the last bound is infinite.
      part: such as 0.95.

    Returns:
      The upper bound of the bucket that holds it, so the true value is at
      most this; None for an empty histogram.
    """
    bounds = sorted(buckets)
    if not bounds or not buckets[bounds[-1]]:
        return None
    wanted = part * buckets[bounds[-1]]
    return next(bound for bound in bounds if buckets[bound] >= wanted)
