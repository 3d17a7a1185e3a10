"""Checks in a soak run that workers get no more requests than they allow."""

import collections
from collections.abc import Iterable, Iterator, Sequence

from fleet.soak_rules import CallerRecord, WorkerRun

WINDOW_S = 4.0
# In each window a worker may get this multiple of its limit, and some more.
TOLERATED_RATIO = 1.5
TOLERATED_REQUESTS = 5
# A router has to know a limit this long after it got an answer that names it.
NOTICE_S = 0.5

# Target, start and end (monotonic times) of a fault.
Disturbance = tuple[str, float, float]


def find_exceeded_limits(
    records: Iterable[CallerRecord],
    runs: Iterable[WorkerRun],
    disturbances: Sequence[Disturbance],
) -> list[str]:
    """Return a message for each worker that got too many requests.

    Counted are the requests of routers that know the limit. A fault of a
    router, of the worker or of its link excuses the router or the worker.

    Args:
      records: every request of the callers.
      runs: every run of the workers.
      disturbances: faults of routers, workers and links.
    """
    routers = {record.request_id: record.router for record in records}
    by_worker: dict[str, list[WorkerRun]] = collections.defaultdict(list)
    for run in sorted(runs, key=lambda each: each.at_s):
        by_worker[run.worker].append(run)
    violations: list[str] = []
    for worker, worker_runs in by_worker.items():
        for period in _limited_periods(worker_runs):
            known = [
                run
                for run in _runs_of_informed_routers(
                    period, routers, disturbances
                )
                if not _is_disturbed(
                    (worker, f'worker-{worker}'),
                    run.at_s - WINDOW_S,
                    run.at_s,
                    disturbances,
                )
            ]
            violations.extend(_exceeded(worker, known))
    return violations


def _limited_periods(runs: Sequence[WorkerRun]) -> Iterator[list[WorkerRun]]:
    """Yield the runs of each period in which a worker names limits."""
    period: list[WorkerRun] = []
    for run in runs:
        if run.limit:
            period.append(run)
        elif period:
            yield period
            period = []
    if period:
        yield period


def _runs_of_informed_routers(
    period: Sequence[WorkerRun],
    routers: dict[str, str],
    disturbances: Sequence[Disturbance],
) -> Iterator[WorkerRun]:
    informed_at: dict[str, float] = {}
    for run in period:
        router = routers.get(run.request_id, '')
        known_since = informed_at.setdefault(router, run.at_s)
        if run.at_s - known_since >= NOTICE_S and not _is_disturbed(
            (router,), known_since, run.at_s, disturbances
        ):
            yield run


def _exceeded(worker: str, runs: Sequence[WorkerRun]) -> Iterator[str]:
    for index, first in enumerate(runs):
        window = [
            run for run in runs[index:] if run.at_s <= first.at_s + WINDOW_S
        ]
        limit = max(run.limit for run in window)
        allowed = TOLERATED_RATIO * limit * WINDOW_S + TOLERATED_REQUESTS
        if len(window) > allowed:
            yield (
                f'LIMIT {worker} got {len(window)} requests in {WINDOW_S} s '
                f'with a limit of {limit}, {allowed} are allowed'
            )
            return


def _is_disturbed(
    targets: tuple[str, ...],
    start: float,
    end: float,
    disturbances: Sequence[Disturbance],
) -> bool:
    return any(
        target in targets and began <= end and start <= ended
        for target, began, ended in disturbances
    )
