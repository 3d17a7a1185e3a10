"""Counters and latency histograms of the request path."""

import datetime as dt

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# Seconds. The bounds include the usual objectives of 0.145 s, 2 s and 6 s, and
# others around them.
LATENCY_BOUNDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.145,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    3.0,
    4.0,
    6.0,
    8.0,
    12.0,
    25.0,
)


class Metrics:
    """Prometheus metrics of the request path in one process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics at a registry."""
        self.registry = registry
        self.requests = Counter(
            'bronzeglade_forwarded_requests',
            'Requests completed, by outcome.',
            ('route', 'outcome'),
            registry=registry,
        )
        self.first_byte = Histogram(
            'bronzeglade_first_byte_seconds',
            'Seconds from the head of a request to the first byte.',
            ('route',),
            buckets=LATENCY_BOUNDS,
            registry=registry,
        )
        self.total = Histogram(
            'bronzeglade_request_seconds',
            'Seconds from the head of a request to its end.',
            ('route',),
            buckets=LATENCY_BOUNDS,
            registry=registry,
        )
        self.failures = Counter(
            'bronzeglade_attempt_failures',
            'Attempts without a usable answer, by kind.',
            ('failure',),
            registry=registry,
        )
        self.retries = Counter(
            'bronzeglade_retries',
            'Retries, by the failure of the previous attempt.',
            ('failure',),
            registry=registry,
        )
        self.escalations = Counter(
            'bronzeglade_escalations',
            'Answers discarded in favour of a larger model.',
            registry=registry,
        )
        self.connections = Counter(
            'bronzeglade_endpoint_connections',
            'New connections to endpoints.',
            registry=registry,
        )
        self.store_calls = Counter(
            'bronzeglade_store_calls',
            'Calls to the store, by kind and outcome.',
            ('call', 'outcome'),
            registry=registry,
        )
        self.configuration = Gauge(
            'bronzeglade_configuration_version',
            'Version of the active configuration.',
            registry=registry,
        )
        self.cold_endpoints = Gauge(
            'bronzeglade_cold_endpoints',
            'Endpoints that get few requests since they have just started.',
            registry=registry,
        )
        self.cold_attempts = Counter(
            'bronzeglade_cold_attempts',
            'Attempts at cold endpoints: sent, or without a turn.',
            ('outcome',),
            registry=registry,
        )
        self.evacuated_domains = Gauge(
            'bronzeglade_evacuated_domains',
            'Failure domains whose endpoints get no requests.',
            registry=registry,
        )
        self.held_bytes = Gauge(
            'bronzeglade_held_bytes',
            'Bodies of requests, and answers, that are held in memory.',
            registry=registry,
        )
        self.caller_connections = Gauge(
            'bronzeglade_caller_connections',
            'Open connections of callers.',
            registry=registry,
        )
        self.turned_away = Counter(
            'bronzeglade_turned_away',
            'Requests not read, and connections closed, to bound resources.',
            ('cause',),
            registry=registry,
        )
        self.dropped_lines = Counter(
            'bronzeglade_log_lines_dropped',
            'Log lines dropped, above the rate limit or for a slow reader.',
            registry=registry,
        )

    def count(self, route: str, outcome: str) -> None:
        """Count a request by its outcome."""
        self.requests.labels(route, outcome).inc()

    def ended(
        self,
        route: str,
        outcome: str,
        received_at: dt.timedelta,
        first: dt.timedelta | None,
        now: dt.timedelta,
    ) -> None:
        """Count a delivered request and record its latencies.

        Args:
          route: name of the route.
          outcome: how the request ended.
          received_at: monotonic time at which its head arrived.
          first: monotonic time of the first byte, or None.
          now: monotonic time of its end.
        """
        self.count(route, outcome)
        self.total.labels(route).observe((now - received_at).total_seconds())
        if first is not None:
            self.first_byte.labels(route).observe(
                (first - received_at).total_seconds()
            )
