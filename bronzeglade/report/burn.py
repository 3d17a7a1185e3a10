"""Service-level burn: who misses the targets, how fast, and why."""

import dataclasses
from collections.abc import Sequence

from bronzeglade.manifest import Manifest
from bronzeglade.report import samples
from bronzeglade.report.samples import NodePage

WINDOWS_S = (60, 300, 1800, 3600)
GROUPINGS = ('rank', 'team', 'version')
# A budget is burnt in a thirtieth of its period at this rate: somebody
# should look now. Ranks with an objective of 0.95 can burn at 20 at most.
FAST_BURN = 6
PERCENTILES = (0.5, 0.95)


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """Budget use of a group in one window.

    `burn_rate` is 1 when exactly the objective is met; None without requests.
    """

    window_s: int
    requests: int
    missed: int
    burn_rate: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Upper bounds of percentiles since the processes started, seconds."""

    p50: float | None
    p95: float | None
    target: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupBurn:
    """Burn of one rank, team or version."""

    grouping: str
    name: str
    windows: tuple[WindowBurn, ...]
    first_token: Latency
    inter_token: Latency
    refusals: dict[str, int]
    cost_nanodollars: float
    tokens: float

    def is_hurt(self) -> bool:
        """Return whether the budget burns fast in the two short windows."""
        rates = [window.burn_rate for window in self.windows[:2]]
        return all(rate is not None and rate >= FAST_BURN for rate in rates)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The report over all nodes that could be read."""

    generation: tuple[int, ...]
    nodes_read: tuple[str, ...]
    nodes_unread: tuple[tuple[str, str], ...]
    short_history: tuple[str, ...]
    groups: tuple[GroupBurn, ...]
    exposure: dict[str, int]


def build(pages: Sequence[NodePage], manifest: Manifest) -> Report:
    """Build the report.

    Args:
      pages: metrics of every node that the status names.
      manifest: the manifest that is active, with targets.

    Returns:
      The report; it says what could not be read.
    """
    read = [page for page in pages if not page.error]
    groups = [
        _group(read, manifest, grouping, name)
        for grouping in GROUPINGS
        for name in _names(read, grouping)
    ]
    return Report(
        generation=_generations(read),
        nodes_read=tuple(page.node for page in read),
        nodes_unread=tuple(
            (page.node, page.error) for page in pages if page.error
        ),
        short_history=tuple(page.node for page in read if _is_short(page)),
        groups=tuple(groups),
        exposure=_exposure(read, manifest),
    )


def _label(grouping: str) -> tuple[str, ...]:
    return ('model', 'version') if grouping == 'version' else (grouping,)


def _names(pages: Sequence[NodePage], grouping: str) -> list[str]:
    sums = samples.add_up(pages, 'bronzeglade_requests_total', _label(grouping))
    return sorted('@'.join(labels) for labels in sums if all(labels))


def _generations(pages: Sequence[NodePage]) -> tuple[int, ...]:
    seen = {
        int(sample.value)
        for page in pages
        for sample in page.samples
        if sample.name == 'bronzeglade_generation'
    }
    return tuple(sorted(seen))


def _is_short(page: NodePage) -> bool:
    uptime = [
        sample.value
        for sample in page.samples
        if sample.name == 'bronzeglade_uptime_seconds'
    ]
    return not uptime or uptime[0] < WINDOWS_S[-1]


def _exposure(pages: Sequence[NodePage], manifest: Manifest) -> dict[str, int]:
    sums = samples.add_up(
        pages, 'bronzeglade_requests_total', ('model', 'version')
    )
    return {
        rollout.name: int(sums.get((rollout.model, rollout.to_version), 0))
        for rollout in manifest.rollouts
    }


def _group(
    pages: Sequence[NodePage], manifest: Manifest, grouping: str, name: str
) -> GroupBurn:
    chosen = [_only(page, grouping, name) for page in pages]
    targets = _targets(manifest, grouping, name)
    return GroupBurn(
        grouping=grouping,
        name=name,
        windows=tuple(
            _window(chosen, manifest, window) for window in WINDOWS_S
        ),
        first_token=_latency(
            chosen, 'bronzeglade_first_token_seconds_bucket', targets[0]
        ),
        inter_token=_latency(
            chosen, 'bronzeglade_inter_token_seconds_bucket', targets[1]
        ),
        refusals=_refusals(chosen),
        cost_nanodollars=_total(chosen, 'bronzeglade_cost_nanodollars_total'),
        tokens=_total(chosen, 'bronzeglade_generated_tokens_total'),
    )


def _only(page: NodePage, grouping: str, name: str) -> NodePage:
    labels = _label(grouping)
    kept = tuple(
        sample
        for sample in page.samples
        if '@'.join(sample.labels.get(label, '') for label in labels) == name
    )
    return NodePage(page.node, kept)


def _targets(
    manifest: Manifest, grouping: str, name: str
) -> tuple[float | None, float | None]:
    for rank in manifest.ranks:
        if grouping == 'rank' and rank.name == name:
            return rank.first_token_ms / 1000, rank.inter_token_ms / 1000
    return None, None


def _window(
    pages: Sequence[NodePage], manifest: Manifest, window: int
) -> WindowBurn:
    labels = ('rank', 'window_s')
    totals = samples.add_up(pages, 'bronzeglade_window_requests', labels)
    missed = samples.add_up(pages, 'bronzeglade_window_missed', labels)
    objectives = {rank.name: rank.objective for rank in manifest.ranks}
    requests = 0
    lost = 0
    allowed: float = 0
    for (rank, seconds), count in totals.items():
        if seconds == str(window) and rank in objectives:
            requests += int(count)
            lost += int(missed[(rank, seconds)])
            allowed += count * (1 - objectives[rank])
    rate = lost / allowed if allowed else None
    return WindowBurn(window, requests, lost, rate)


def _latency(
    pages: Sequence[NodePage], name: str, target: float | None
) -> Latency:
    sums = samples.add_up(pages, name, ('le',))
    buckets = {float(labels[0]): count for labels, count in sums.items()}
    found = [samples.percentile(buckets, part) for part in PERCENTILES]
    return Latency(found[0], found[1], target)


def _refusals(pages: Sequence[NodePage]) -> dict[str, int]:
    sums = samples.add_up(pages, 'bronzeglade_requests_total', ('outcome',))
    return {
        labels[0]: int(count)
        for labels, count in sorted(sums.items())
        if labels[0] not in {'whole', 'abandoned'}
    }


def _total(pages: Sequence[NodePage], name: str) -> float:
    return sum(samples.add_up(pages, name, ()).values())
