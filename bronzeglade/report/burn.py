"""Error budget burn rates and latencies by rank, team and version."""

import dataclasses
from collections.abc import Sequence

from bronzeglade.manifest import Manifest
from bronzeglade.report import samples
from bronzeglade.report.samples import NodePage

WINDOWS_S = (60, 300, 1800, 3600)
GROUPINGS = ('rank', 'team', 'version')
# Burn rate that needs immediate attention: the budget is exhausted in a sixth
# of its period. With an objective of 0.95 the maximum rate is 20.
FAST_BURN = 6
PERCENTILES = (0.5, 0.95)


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """Requests of a group in a time window and how many missed their target.

    `burn_rate` is missed requests over those that the objective allows to be
    missed: 1 uses up the error budget exactly. None without requests.
    """

    window_s: int
    requests: int
    missed: int
    burn_rate: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Latency percentiles since the processes started, and the target, in s.

    The percentiles are upper bounds of histogram buckets.
    """

    p50: float | None
    p95: float | None
    target: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupBurn:
    """Burn rates, latencies and costs of one rank, team or version."""

    grouping: str
    name: str
    windows: tuple[WindowBurn, ...]
    first_token: Latency
    inter_token: Latency
    refusals: dict[str, int]
    cost_nanodollars: float
    tokens: float

    def is_burning_fast(self) -> bool:
        """Return whether both of the two shortest windows have a fast burn."""
        rates = [window.burn_rate for window in self.windows[:2]]
        return all(rate is not None and rate >= FAST_BURN for rate in rates)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The report over all nodes whose metrics could be read.

    Attributes:
      generation: active generations; more than one if nodes differ.
      nodes_read: nodes included in the report.
      nodes_unread: nodes that could not be read, each with the error.
      short_history: nodes that have run for less than the longest window.
      groups: results by rank, team and version.
      exposure: number of requests on the candidate, by roll-out.
    """

    generation: tuple[int, ...]
    nodes_read: tuple[str, ...]
    nodes_unread: tuple[tuple[str, str], ...]
    short_history: tuple[str, ...]
    groups: tuple[GroupBurn, ...]
    exposure: dict[str, int]


def build(pages: Sequence[NodePage], manifest: Manifest) -> Report:
    """Build the report from the metrics of all nodes.

    Args:
      pages: metrics of every node in the status, or the read error.
      manifest: the active manifest, which holds the targets.

    Returns:
      The report; it lists the nodes that could not be read.
    """
    readable = [page for page in pages if not page.error]
    groups = [
        _group_burn(readable, manifest, grouping, name)
        for grouping in GROUPINGS
        for name in _group_names(readable, grouping)
    ]
    return Report(
        generation=_generations(readable),
        nodes_read=tuple(page.node for page in readable),
        nodes_unread=tuple(
            (page.node, page.error) for page in pages if page.error
        ),
        short_history=tuple(
            page.node for page in readable if _has_short_history(page)
        ),
        groups=tuple(groups),
        exposure=_exposure(readable, manifest),
    )


def _grouping_labels(grouping: str) -> tuple[str, ...]:
    return ('model', 'version') if grouping == 'version' else (grouping,)


def _group_names(pages: Sequence[NodePage], grouping: str) -> list[str]:
    sums = samples.sum_by_labels(
        pages, 'bronzeglade_requests_total', _grouping_labels(grouping)
    )
    return sorted('@'.join(labels) for labels in sums if all(labels))


def _generations(pages: Sequence[NodePage]) -> tuple[int, ...]:
    generations = {
        int(sample.value)
        for page in pages
        for sample in page.samples
        if sample.name == 'bronzeglade_generation'
    }
    return tuple(sorted(generations))


def _has_short_history(page: NodePage) -> bool:
    uptime = [
        sample.value
        for sample in page.samples
        if sample.name == 'bronzeglade_uptime_seconds'
    ]
    return not uptime or uptime[0] < WINDOWS_S[-1]


def _exposure(pages: Sequence[NodePage], manifest: Manifest) -> dict[str, int]:
    sums = samples.sum_by_labels(
        pages, 'bronzeglade_requests_total', ('model', 'version')
    )
    return {
        rollout.name: int(sums.get((rollout.model, rollout.to_version), 0))
        for rollout in manifest.rollouts
    }


def _group_burn(
    pages: Sequence[NodePage], manifest: Manifest, grouping: str, name: str
) -> GroupBurn:
    filtered = [_filter_samples(page, grouping, name) for page in pages]
    targets = _targets(manifest, grouping, name)
    return GroupBurn(
        grouping=grouping,
        name=name,
        windows=tuple(
            _window_burn(filtered, manifest, window) for window in WINDOWS_S
        ),
        first_token=_latency(
            filtered, 'bronzeglade_first_token_seconds_bucket', targets[0]
        ),
        inter_token=_latency(
            filtered, 'bronzeglade_inter_token_seconds_bucket', targets[1]
        ),
        refusals=_refusals(filtered),
        cost_nanodollars=_total(filtered, 'bronzeglade_cost_nanodollars_total'),
        tokens=_total(filtered, 'bronzeglade_generated_tokens_total'),
    )


def _filter_samples(page: NodePage, grouping: str, name: str) -> NodePage:
    labels = _grouping_labels(grouping)
    matching = tuple(
        sample
        for sample in page.samples
        if '@'.join(sample.labels.get(label, '') for label in labels) == name
    )
    return NodePage(page.node, matching)


def _targets(
    manifest: Manifest, grouping: str, name: str
) -> tuple[float | None, float | None]:
    for rank in manifest.ranks:
        if grouping == 'rank' and rank.name == name:
            return rank.first_token_ms / 1000, rank.inter_token_ms / 1000
    return None, None


def _window_burn(
    pages: Sequence[NodePage], manifest: Manifest, window: int
) -> WindowBurn:
    labels = ('rank', 'window_s')
    totals = samples.sum_by_labels(pages, 'bronzeglade_window_requests', labels)
    missed = samples.sum_by_labels(pages, 'bronzeglade_window_missed', labels)
    objectives = {rank.name: rank.objective for rank in manifest.ranks}
    requests = 0
    missed_requests = 0
    allowed: float = 0
    for (rank, seconds), count in totals.items():
        if seconds == str(window) and rank in objectives:
            requests += int(count)
            missed_requests += int(missed[(rank, seconds)])
            allowed += count * (1 - objectives[rank])
    rate = missed_requests / allowed if allowed else None
    return WindowBurn(window, requests, missed_requests, rate)


def _latency(
    pages: Sequence[NodePage], name: str, target: float | None
) -> Latency:
    sums = samples.sum_by_labels(pages, name, ('le',))
    buckets = {float(labels[0]): count for labels, count in sums.items()}
    bounds = [samples.percentile(buckets, fraction) for fraction in PERCENTILES]
    return Latency(bounds[0], bounds[1], target)


def _refusals(pages: Sequence[NodePage]) -> dict[str, int]:
    sums = samples.sum_by_labels(
        pages, 'bronzeglade_requests_total', ('outcome',)
    )
    return {
        labels[0]: int(count)
        for labels, count in sorted(sums.items())
        if labels[0] not in {'whole', 'abandoned'}
    }


def _total(pages: Sequence[NodePage], name: str) -> float:
    return sum(samples.sum_by_labels(pages, name, ()).values())
