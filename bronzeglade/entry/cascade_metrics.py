"""Metrics of cascades."""

from prometheus_client import CollectorRegistry, Counter

from bronzeglade.decisions.cascade import Reason


class CascadeMetrics:
    """Counters of decisions and of what they cost."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
          registry: where they are registered.
        """
        self.decisions = Counter(
            'bronzeglade_cascade_decisions',
            'Decisions by reason; `accept` is empty for a first step.',
            ('route', 'reason', 'accept'),
            registry=registry,
        )
        self.quality_first = Counter(
            'bronzeglade_cascade_quality_first_nanodollars',
            'Cost above the cheapest step for want of a rating service.',
            ('route',),
            registry=registry,
        )

    def decided(self, route: str, reason: Reason, accept: str) -> None:
        """Count a decision; `accept` is `true`, `false` or empty."""
        self.decisions.labels(route, reason.value, accept).inc()

    def paid_for_quality(self, route: str, cost: int) -> None:
        """Count cost in nano-dollars for want of ratings."""
        self.quality_first.labels(route).inc(cost)
