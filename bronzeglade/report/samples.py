"""Parsing and aggregation of the nodes' Prometheus metrics."""

import dataclasses
from collections import defaultdict
from collections.abc import Iterable, Mapping

from prometheus_client.parser import text_string_to_metric_families

Key = tuple[tuple[str, str], ...]  # labels, sorted by name


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A sample of a metric on one node."""

    name: str
    labels: Mapping[str, str]
    value: float  # noqa: WPS110


@dataclasses.dataclass(frozen=True, slots=True)
class NodePage:
    """The metrics of one node, or why they could not be read."""

    node: str
    samples: tuple[Sample, ...] = ()
    error: str = ''


def parse(node: str, text: str) -> NodePage:
    """Parse a metrics page.

    Args:
      node: name of the node's VM.
      text: the page in the Prometheus text format.

    Returns:
      The samples of the router's metrics, or an error if the page is invalid.
    """
    try:
        samples = tuple(
            Sample(sample.name, sample.labels, sample.value)
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name.startswith('bronzeglade_')
        )
    except ValueError as error:
        return NodePage(node, error=f'invalid metrics page: {error}')
    return NodePage(node, samples)


def sum_by_labels(
    pages: Iterable[NodePage], name: str, labels: tuple[str, ...]
) -> dict[tuple[str, ...], float]:
    """Sum a metric over nodes and over all but the given labels.

    Args:
      pages: metrics of all nodes.
      name: name of the samples.
      labels: labels to group by.

    Returns:
      Sums by the values of `labels`, in their order.
    """
    sums: dict[tuple[str, ...], float] = defaultdict(float)
    for page in pages:
        for sample in page.samples:
            if sample.name == name:
                group = tuple(sample.labels.get(label, '') for label in labels)
                sums[group] += sample.value
    return dict(sums)


def percentile(buckets: Mapping[float, float], fraction: float) -> float | None:
    """Return the upper bound of a percentile of a histogram.

    Args:
      buckets: cumulative counts by upper bound; the last bound is infinite.
      fraction: the percentile as a fraction, such as 0.95.

    Returns:
      The upper bound of the bucket that contains the percentile; None for
      an empty histogram.
    """
    bounds = sorted(buckets)
    if not bounds or not buckets[bounds[-1]]:
        return None
    threshold = fraction * buckets[bounds[-1]]
    return next(bound for bound in bounds if buckets[bound] >= threshold)
