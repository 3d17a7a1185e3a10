"""Prometheus metrics of model cascades."""

from prometheus_client import CollectorRegistry, Counter

from bronzeglade.decisions.cascade import Reason


class CascadeMetrics:
    """Counters of cascade decisions and of their extra cost."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the counters.

        Args:
          registry: registry of this node.
        """
        self.decisions = Counter(
            'bronzeglade_cascade_decisions',
            'Decisions by reason; `accept` is empty for a first step.',
            ('route', 'reason', 'accept'),
            registry=registry,
        )
        self.unrated_extra_cost = Counter(
            'bronzeglade_cascade_quality_first_nanodollars',
            'Cost above the cheapest step because no rating was available.',
            ('route',),
            registry=registry,
        )

    def count_decision(self, route: str, reason: Reason, accept: str) -> None:
        """Count a decision; `accept` is `true`, `false` or empty."""
        self.decisions.labels(route, reason.value, accept).inc()

    def count_extra_cost(self, route: str, cost: int) -> None:
        """Count extra cost in nano-dollars because no rating was available."""
        self.unrated_extra_cost.labels(route).inc(cost)
