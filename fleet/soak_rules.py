"""Rules of a soak run, checked on the records of callers and workers.

A violation begins with the name of its rule, such as `TWICE`.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from fleet.planned_stop_rule import (
    Ending,
    Exchange,
    PlannedStop,
    ending_of,
)

# Statuses which guarantee that no worker has executed the request.
NOT_EXECUTED = frozenset((408, 421, 429, 503))
READ, ORDER, CHAT = 'read', 'order', 'chat'
PLAIN_BODY = 'done'
EVENT_COUNT = 5  # of a short stream
# Time after the deadline within which a router must answer; allows for timers
# that fire late on a busy machine.
DEADLINE_SLACK_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRecord:
    """A request and its answer as the caller recorded them.

    `status` is 0 without an answer. `complete`: the answer ended as HTTP
    requires. `undisturbed`: from `sent_s` to `ended_s`, which are monotonic
    times, no fault affected the router or the caller's link to it. `stopped_s`
    is set if only a planned stop affected the request, to the time of its
    signal. `events` is the number of events of a stream, and `limit_s` the
    lower one of the deadline and the route's time-out.
    """

    request_id: str
    kind: str
    router: str
    key: str
    sent_s: float
    ended_s: float
    deadline_s: float
    status: int = 0
    answer_id: str = ''
    signature: str = ''
    body: str = ''
    complete: bool = False
    undisturbed: bool = False
    stopped_s: float | None = None
    events: int = EVENT_COUNT
    limit_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRun:
    """One execution of a request, as the worker recorded it.

    `at_s` is a monotonic time, the same clock as that of the callers. `limit`
    is the number of requests per second that the worker named then, 0 if none.
    """

    request_id: str
    worker: str
    path: str
    body: str
    tenant: str | None
    credential: str | None
    at_s: float = 0
    limit: float = 0


def find_violations(
    records: Iterable[CallerRecord],
    runs: Iterable[WorkerRun],
    tenants: Mapping[str, str],
) -> list[str]:
    """Return a message for each violation; empty if every rule holds.

    Args:
      records: every request of the callers.
      runs: every run of the workers.
      tenants: tenant by API key, of all keys that were ever valid.
    """
    runs_by_id: dict[str, list[WorkerRun]] = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run.request_id].append(run)
    records_by_id = {record.request_id: record for record in records}
    violations = [
        f'UNASKED {request_id}: no caller sent it'
        for request_id in runs_by_id.keys() - records_by_id
    ]
    for request_id, record in records_by_id.items():
        found = runs_by_id.get(request_id, [])
        for rule in (
            _check_at_most_once,
            _check_refusal,
            _check_unmodified,
            _check_credential,
            _check_answer,
            _check_deadline,
            _check_planned_stop,
        ):
            text = rule(record, found, tenants)
            if text:
                violations.append(f'{text}: {record}, ran {found}')
    return violations


def _check_at_most_once(
    record: CallerRecord, runs: Sequence[WorkerRun], _: Mapping[str, str]
) -> str:
    if record.kind == ORDER and len(runs) > 1:
        return 'TWICE'
    return ''


def _check_refusal(
    record: CallerRecord, runs: Sequence[WorkerRun], _: Mapping[str, str]
) -> str:
    if record.kind == ORDER and record.status in NOT_EXECUTED and runs:
        return 'REFUSED but a worker ran it'
    return ''


def _check_unmodified(
    record: CallerRecord, runs: Sequence[WorkerRun], _: Mapping[str, str]
) -> str:
    for run in runs:
        if run.path != f'/{record.kind}/x' or run.body != record.request_id:
            return 'UNASKED path or body at the worker'
    return ''


def _check_credential(
    record: CallerRecord, runs: Sequence[WorkerRun], tenants: Mapping[str, str]
) -> str:
    for run in runs:
        if run.credential is not None:
            return 'UNASKED API key sent to the worker'
        if tenants.get(record.key) != run.tenant:
            return 'ROUTE unknown key or wrong tenant'
    return ''


def _check_answer(
    record: CallerRecord, runs: Sequence[WorkerRun], _: Mapping[str, str]
) -> str:
    if not (record.complete and 200 <= record.status < 300):
        return ''
    if not runs or record.answer_id != record.request_id:
        return 'MIXED answer of another request'
    signers = {run.worker for run in runs}
    if record.signature.rpartition('.')[0] not in signers:
        return 'MIXED signature of a worker that did not run it'
    if record.body != expected_body(record.kind, record.events):
        return 'ORDER' if record.kind == CHAT else 'MIXED body'
    return ''


def _check_deadline(
    record: CallerRecord, _runs: Sequence[WorkerRun], _: Mapping[str, str]
) -> str:
    late = record.ended_s - record.sent_s > record.deadline_s + DEADLINE_SLACK_S
    return 'HELD beyond the deadline' if record.undisturbed and late else ''


def _check_planned_stop(
    record: CallerRecord, runs: Sequence[WorkerRun], _: Mapping[str, str]
) -> str:
    # The proxy accepts connections that the router does not, so a request that
    # no worker has run may not have been read.
    if record.stopped_s is None or not runs:
        return ''
    exchange = Exchange(
        record.request_id,
        record.kind,
        record.router,
        kept=False,
        sent_s=record.sent_s,
        ended_s=record.ended_s,
        limit_s=record.limit_s,
        status=record.status,
        complete=record.complete,
    )
    stop = PlannedStop(record.router, record.stopped_s, record.ended_s, 0)
    is_cut = ending_of(exchange, stop, ran=True) is Ending.CUT
    return 'LOST around a planned stop' if is_cut else ''


def expected_body(kind: str, events: int = EVENT_COUNT) -> str:
    """Return the body of a complete answer.

    Args:
      kind: kind of the request.
      events: number of events of a stream.
    """
    if kind != CHAT:
        return PLAIN_BODY
    return ''.join(
        f'id: {number}\ndata: piece {number}\n\n'
        for number in range(1, events + 1)
    )
