"""What must hold in a soak, from what callers sent and got and workers ran."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

NOT_RUN = frozenset((408, 421, 429, 503))
READ, ORDER, CHAT = 'read', 'order', 'chat'
PLAIN_BODY = 'done'
EVENTS = 5
# A router may notice a deadline late on a busy machine; nothing is held longer.
HELD_SLACK_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A request as its caller saw it; `status` is 0 without an answer.

    `whole` tells that the answer ended as the protocol says. Times are
    monotonic seconds; `calm` tells that no fault was near its router.
    """

    request_id: str
    kind: str
    router: str
    key: str
    sent_s: float
    ended_s: float
    deadline_s: float
    status: int = 0
    answered_id: str = ''
    signature: str = ''
    body: str = ''
    whole: bool = False
    calm: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """A request as a worker ran it."""

    request_id: str
    worker: str
    path: str
    body: str
    tenant: str | None
    credential: str | None


def broken_rules(
    asked: Iterable[Asked], ran: Iterable[Ran], tenants: Mapping[str, str]
) -> list[str]:
    """Return what was broken; empty when every rule held.

    Args:
      asked: every request of the callers.
      ran: every run of the workers.
      tenants: by key, of all keys that were ever valid.
    """
    runs: dict[str, list[Ran]] = collections.defaultdict(list)
    for one in ran:
        runs[one.request_id].append(one)
    by_id = {one.request_id: one for one in asked}
    broken = [
        f'UNASKED {name}: no caller sent it' for name in runs.keys() - by_id
    ]
    for name, request in by_id.items():
        found = runs.get(name, [])
        for rule in (_twice, _refused, _changed, _key, _mixed, _held):
            text = rule(request, found, tenants)
            if text:
                broken.append(f'{text}: {request}, ran {found}')
    return broken


def _twice(asked: Asked, runs: Sequence[Ran], _: Mapping[str, str]) -> str:
    if asked.kind == ORDER and len(runs) > 1:
        return 'TWICE'
    return ''


def _refused(asked: Asked, runs: Sequence[Ran], _: Mapping[str, str]) -> str:
    if asked.kind == ORDER and asked.status in NOT_RUN and runs:
        return 'REFUSED but it ran'
    return ''


def _changed(asked: Asked, runs: Sequence[Ran], _: Mapping[str, str]) -> str:
    for run in runs:
        if run.path != f'/{asked.kind}/x' or run.body != asked.request_id:
            return 'UNASKED path or body'
    return ''


def _key(asked: Asked, runs: Sequence[Ran], tenants: Mapping[str, str]) -> str:
    for run in runs:
        if run.credential is not None:
            return 'UNASKED key passed on'
        if tenants.get(asked.key) != run.tenant:
            return 'ROUTE key or tenant'
    return ''


def _mixed(asked: Asked, runs: Sequence[Ran], _: Mapping[str, str]) -> str:
    if not (asked.whole and 200 <= asked.status < 300):
        return ''
    if not runs or asked.answered_id != asked.request_id:
        return 'MIXED answer of another request'
    signers = {run.worker for run in runs}
    if asked.signature.rpartition('.')[0] not in signers:
        return 'MIXED signature'
    if asked.body != expected_body(asked.kind):
        return 'ORDER' if asked.kind == CHAT else 'MIXED body'
    return ''


def _held(asked: Asked, _runs: Sequence[Ran], _: Mapping[str, str]) -> str:
    late = asked.ended_s - asked.sent_s > asked.deadline_s + HELD_SLACK_S
    return 'HELD beyond its deadline' if asked.calm and late else ''


def expected_body(kind: str) -> str:
    """Return the whole body of an answer."""
    if kind != CHAT:
        return PLAIN_BODY
    return ''.join(
        f'id: {number}\ndata: piece {number}\n\n'
        for number in range(1, EVENTS + 1)
    )
