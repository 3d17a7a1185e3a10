"""Metrics of the process and the structured log of each request."""

import dataclasses
import datetime as dt
from collections.abc import Callable, Iterator
from typing import Any

import eliot
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from bronzeglade.clock import Clock
from bronzeglade.entry.windows import WINDOWS, WindowedCounts
from bronzeglade.manifest import Rank
from bronzeglade.outcome import Refusal, RunState

# Bucket bounds in seconds. There are bounds on both sides of the usual targets
# of 0.8 s, 1.3 s and 10 s, so that a percentile close to a target can be
# distinguished from it.
FIRST_TOKEN_BOUNDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.0,
    1.3,
    1.6,
    2.0,
    3.0,
    5.0,
    10.0,
    20.0,
    60.0,
)
# Bucket bounds in seconds; the target for the time between tokens is 26 ms.
INTER_TOKEN_BOUNDS = (
    0.002,
    0.005,
    0.01,
    0.015,
    0.02,
    0.026,
    0.03,
    0.04,
    0.06,
    0.1,
    0.2,
    0.5,
    1.0,
)
# Refusals with these statuses are caused by the caller and do not consume the
# error budget.
CALLER_STATUSES = frozenset(
    (400, 401, 403, 404, 405, 408, 409, 411, 413, 422, 429)
)

OUTCOME_WHOLE = 'whole'
OUTCOME_ABANDONED = 'abandoned'  # the caller disconnected before the end


@dataclasses.dataclass(frozen=True, slots=True)
class Labels:
    """The metric labels of a request."""

    rank: str
    team: str
    model: str = ''
    version: str = ''

    def values(self) -> tuple[str, str, str, str]:
        """Return the label values in the order of LABEL_NAMES."""
        return (self.rank, self.team, self.model, self.version)


LABEL_NAMES = ('rank', 'team', 'model', 'version')


class RequestLog:
    """The log of one request; its eliot task id is the request id."""

    def __init__(self, request_id: str, kind: str) -> None:
        """Start the log action of a request.

        Args:
          request_id: the same in every process that serves the request.
          kind: the request path.
        """
        self.action: Any = eliot.Action.continue_task(
            task_id=f'{request_id}@/1',
            action_type='bronzeglade:request',
            kind=kind,
        )

    def event(self, name: str, **fields: Any) -> None:
        """Log an event or a decision with its reasons.

        Callers must not pass prompts, answers or keys.

        Args:
          name: type of the event, without the `bronzeglade:` prefix.
          fields: further fields; JSON values.
        """
        self.action.log(f'bronzeglade:{name}', **fields)

    def end(self, outcome: str, **fields: Any) -> None:
        """End the log action of the request.

        Args:
          outcome: `whole`, `abandoned` or the code of a refusal.
          fields: further fields; JSON values.
        """
        self.action.add_success_fields(outcome=outcome, **fields)
        self.action.finish()


class Telemetry:
    """The metrics of one process."""

    def __init__(self, clock: Clock, registry: CollectorRegistry) -> None:
        """Register the metrics.

        Args:
          clock: time source of the windowed counts.
          registry: the registry to add them to.
        """
        self.clock = clock
        self.registry = registry
        self.windows: WindowedCounts[Labels] = WindowedCounts(clock)
        self.requests = Counter(
            'bronzeglade_requests',
            'Requests that ended, by outcome: whole, abandoned, or a code.',
            (*LABEL_NAMES, 'outcome', 'run_state'),
            registry=registry,
        )
        self.first_token = Histogram(
            'bronzeglade_first_token_seconds',
            'Seconds from the request to its first token.',
            LABEL_NAMES,
            buckets=FIRST_TOKEN_BOUNDS,
            registry=registry,
        )
        self.inter_token = Histogram(
            'bronzeglade_inter_token_seconds',
            'Seconds between tokens.',
            LABEL_NAMES,
            buckets=INTER_TOKEN_BOUNDS,
            registry=registry,
        )
        self.cost = Counter(
            'bronzeglade_cost_nanodollars',
            'Cost of billed requests.',
            LABEL_NAMES,
            registry=registry,
        )
        self.tokens = Counter(
            'bronzeglade_generated_tokens',
            'Tokens of billed requests.',
            LABEL_NAMES,
            registry=registry,
        )
        self.generation = Gauge(
            'bronzeglade_generation',
            'Generation of the configuration that is active.',
            registry=registry,
        )
        registry.register(_WindowCollector(self.windows))

    def record_answer(
        self, labels: Labels, rank: Rank, first_token: dt.timedelta, slow: bool
    ) -> None:
        """Record a request that was answered completely.

        Args:
          labels: labels of the request.
          rank: gives the target for the first token.
          first_token: time to the first token.
          slow: whether the time between tokens missed its target.
        """
        seconds = first_token.total_seconds()
        target = dt.timedelta(milliseconds=rank.first_token_ms)
        self.first_token.labels(*labels.values()).observe(seconds)
        self.requests.labels(*labels.values(), OUTCOME_WHOLE, '').inc()
        self.windows.add(labels, slow or first_token > target)

    def record_refusal(self, labels: Labels, refusal: Refusal) -> None:
        """Record a refused or failed request.

        Args:
          labels: labels of the request.
          refusal: the error that the caller received.
        """
        self.requests.labels(
            *labels.values(), refusal.code, refusal.run_state.value
        ).inc()
        if refusal.status not in CALLER_STATUSES:
            self.windows.add(labels, missed=True)

    def record_abandoned(self, labels: Labels) -> None:
        """Record a request whose caller disconnected.

        It does not consume the error budget.
        """
        self.requests.labels(
            *labels.values(), OUTCOME_ABANDONED, RunState.RAN.value
        ).inc()

    def record_bill(self, labels: Labels, cost: int, tokens: int) -> None:
        """Record the cost and tokens of a billed request.

        Args:
          labels: labels of the request.
          cost: in nano-dollars.
          tokens: number of generated tokens.
        """
        self.cost.labels(*labels.values()).inc(cost)
        self.tokens.labels(*labels.values()).inc(tokens)

    def gap_observer(self, labels: Labels) -> Callable[[float], None]:
        """Return a function that observes a time between tokens, in seconds."""
        observe: Callable[[float], None] = self.inter_token.labels(
            *labels.values()
        ).observe
        return observe


class _WindowCollector(Collector):
    """Exports the windowed counts; they start from zero after a restart."""

    def __init__(self, windows: WindowedCounts[Labels]) -> None:
        self.windows = windows

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the total and the missed requests of each window."""
        names = (*LABEL_NAMES, 'window_s')
        totals = GaugeMetricFamily(
            'bronzeglade_window_requests',
            'Requests that count for the objective.',
            labels=names,
        )
        missed = GaugeMetricFamily(
            'bronzeglade_window_missed',
            'Requests that missed the objective.',
            labels=names,
        )
        for window in WINDOWS:
            seconds = str(int(window.total_seconds()))
            for labels, count in self.windows.counts_over(window).items():
                values = [*labels.values(), seconds]
                totals.add_metric(values, count.total)
                missed.add_metric(values, count.missed)
        yield totals
        yield missed
        uptime = self.windows.uptime().total_seconds()
        yield GaugeMetricFamily(
            'bronzeglade_uptime_seconds',
            'Seconds that the windows cover at most.',
            value=uptime,
        )
