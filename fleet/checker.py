"""Verdicts on the router's promises, from what others saw and did.

Reads only what callers saw, what endpoints executed and the ledger in the
table service; nothing that the router says of itself but its answers.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from bronzeglade.coordination.bill import Bill
from fleet.history import (
    Attempt,
    Call,
    Kind,
    Outcome,
    Publication,
    StatusSeen,
    Withdrawal,
)
from standins import answers

# A configuration is to be active everywhere within this time (docs/design.md).
ACTIVE_WITHIN_S = 11.0

# Codes of attempts that ended without a response (names of exceptions).
BROKEN = frozenset(
    (
        'ProtocolError',
        'ReadTimeoutError',
        'IncompleteRead',
        'InvalidChunkLength',
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRun:
    """A request that an engine executed."""

    request_id: str
    model: str
    version: str
    received_at: float
    resumed_from: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRun:
    """An order that a plain service executed."""

    request_id: str
    order_id: str


Grants = Mapping[str, frozenset[tuple[str, str]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Everything that a verdict rests on.

    `grants` holds the models and versions of each team; `final` names the
    generation that each process reported when all faults had ended;
    `drained` are the addresses of entry processes that were stopped gracefully
    and neither killed nor paused; `halts` are versions whose rollout may have
    been halted, from which sessions may then move.
    """

    calls: Sequence[Call] = ()
    engine_runs: Sequence[EngineRun] = ()
    order_runs: Sequence[OrderRun] = ()
    bills: Sequence[Bill] = ()
    grants: Grants = dataclasses.field(default_factory=dict)
    withdrawals: Sequence[Withdrawal] = ()
    publications: Sequence[Publication] = ()
    statuses: Sequence[StatusSeen] = ()
    final: Sequence[StatusSeen] = ()
    drained: frozenset[str] = frozenset()
    halts: Sequence[Withdrawal] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A promise, how many cases were checked and what broke it."""

    promise: str
    checked: int
    violations: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Findings:
    checked: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, holds: bool, violation: str) -> None:
        """Count a case, and its violation when it does not hold."""
        self.checked += 1
        if not holds:
            self.violations.append(violation)


def judge(evidence: Evidence) -> list[Verdict]:
    """Return the verdict on each promise."""
    verdicts: list[Verdict] = []
    for promise, examine in PROMISES.items():
        findings = _Findings()
        examine(evidence, findings)
        verdicts.append(
            Verdict(promise, findings.checked, tuple(findings.violations))
        )
    return verdicts


def attempts_by_id(calls: Iterable[Call]) -> dict[str, tuple[Call, Attempt]]:
    """Return every attempt whose request id the caller learned."""
    return {
        attempt.request_id: (call, attempt)
        for call in calls
        for attempt in call.attempts
        if attempt.request_id
    }


def unbilled(evidence: Evidence) -> list[str]:
    """Return the requests with a whole answer and no billing record."""
    billed = {bill.request_id for bill in evidence.bills}
    return [
        request_id
        for request_id in _whole_chats(evidence)
        if request_id not in billed
    ]


def billed_twice(evidence: Evidence) -> list[str]:
    """Return the requests with more than one billing record."""
    counts = collections.Counter(bill.request_id for bill in evidence.bills)
    return [name for name, count in counts.items() if count > 1]


def doubled_orders(evidence: Evidence) -> list[str]:
    """Return the orders that were executed more than once."""
    counts = collections.Counter(run.order_id for run in evidence.order_runs)
    return [name for name, count in counts.items() if count > 1]


def _whole_chats(evidence: Evidence) -> Iterator[str]:
    for call in evidence.calls:
        if call.planned.kind is Kind.CHAT and call.outcome is Outcome.WHOLE:
            yield call.attempts[-1].request_id


def _permitted(evidence: Evidence, findings: _Findings) -> None:
    teams = {bill.request_id: bill.team for bill in evidence.bills}
    for request_id, (call, _) in attempts_by_id(evidence.calls).items():
        teams[request_id] = call.planned.team
    for run in evidence.engine_runs:
        team = teams.get(run.request_id)
        if team is not None:
            findings.check(
                (run.model, run.version) in evidence.grants[team],
                f'{run.request_id} of {team} ran on {run.model}@{run.version}',
            )


def _withdrawn(evidence: Evidence, findings: _Findings) -> None:
    for withdrawal in evidence.withdrawals:
        since = withdrawal.since + ACTIVE_WITHIN_S
        for run in evidence.engine_runs:
            is_new = not run.resumed_from and (
                since < run.received_at < withdrawal.until
            )
            if is_new and run.model == withdrawal.model:
                findings.check(
                    run.version != withdrawal.version,
                    f'{run.request_id} ran on the withdrawn {run.version} '
                    f'{run.received_at - withdrawal.since:.1f} s after',
                )


def _session(evidence: Evidence, findings: _Findings) -> None:
    calls = attempts_by_id(evidence.calls)
    runs: dict[tuple[str, str, str], list[EngineRun]] = {}
    for run in evidence.engine_runs:
        found = calls.get(run.request_id)
        if found and found[0].planned.session and _is_unpinned(found[0]):
            planned = found[0].planned
            key = (planned.team, planned.session, run.model)
            runs.setdefault(key, []).append(run)
    for session, members in runs.items():
        kept = {
            run.version
            for run in members
            if not _is_withdrawn(evidence, run.model, run.version)
        }
        # Between two withdrawals or halts nothing lets a session move, but
        # work may still leave what an earlier one took away.
        epochs: dict[int, set[str]] = {}
        for run in members:
            since = _moves_before(evidence, run)
            if run.version not in {one.version for one in since}:
                epochs.setdefault(len(since), set()).add(run.version)
        findings.check(
            len(kept) <= 1 and all(len(one) <= 1 for one in epochs.values()),
            f'{session} ran on versions {_versions(members)}',
        )


def _versions(runs: Iterable[EngineRun]) -> list[str]:
    return sorted({run.version for run in runs})


def _is_unpinned(call: Call) -> bool:
    return '@' not in call.planned.target


def _is_withdrawn(evidence: Evidence, model: str, version: str) -> bool:
    return any(
        (one.model, one.version) == (model, version) for one in _moves(evidence)
    )


def _moves_before(evidence: Evidence, run: EngineRun) -> list[Withdrawal]:
    return [
        one
        for one in _moves(evidence)
        if one.model == run.model and one.since <= run.received_at
    ]


def _moves(evidence: Evidence) -> list[Withdrawal]:
    return [*evidence.withdrawals, *evidence.halts]


def _billed_once(evidence: Evidence, findings: _Findings) -> None:
    missing = set(unbilled(evidence))
    for request_id in _whole_chats(evidence):
        findings.check(request_id not in missing, f'{request_id} unbilled')
    findings.violations.extend(
        f'{request_id} billed twice' for request_id in billed_twice(evidence)
    )
    ran = {run.request_id for run in evidence.engine_runs}
    findings.violations.extend(
        f'{bill.request_id} billed without having run'
        for bill in evidence.bills
        if bill.request_id not in ran
    )
    _check_amounts(evidence, findings)


def _check_amounts(evidence: Evidence, findings: _Findings) -> None:
    calls = attempts_by_id(evidence.calls)
    for bill in evidence.bills:
        found = calls.get(bill.request_id)
        if found and found[0].outcome is Outcome.WHOLE:
            answer = found[0].answer
            findings.check(
                bill.usage.completion_tokens >= answer.completion_tokens
                and bill.team == found[0].planned.team,
                f'{bill.request_id} billed to {bill.team} with '
                f'{bill.usage.completion_tokens} tokens',
            )


def _whole(evidence: Evidence, findings: _Findings) -> None:
    for call in evidence.calls:
        name = f'call {call.planned.number}'
        if call.outcome is Outcome.TRUNCATED:
            findings.check(False, f'{name} ended without its end')
        if call.outcome is Outcome.WHOLE:
            findings.check(
                _is_own_answer(call), f'{name} got {call.answer!r:.120}'
            )


def _is_own_answer(call: Call) -> bool:
    planned, answer = call.planned, call.answer
    if planned.kind is Kind.ORDER:
        return answer.order.get('order_id') == planned.order_id
    marker = answers.parse_marker(answer.text)
    return (
        marker is not None
        and (marker.model, marker.version) == (answer.model, answer.version)
        and answer.identity == f'chatcmpl-{call.attempts[-1].request_id}'
        and answer.completion_tokens == planned.tokens
        and answers.is_complete_answer(
            answer.text, planned.messages, planned.tokens
        )
    )


def _not_run(evidence: Evidence, findings: _Findings) -> None:
    ran = {run.request_id for run in evidence.engine_runs}
    ran.update(run.request_id for run in evidence.order_runs)
    ran.update(bill.request_id for bill in evidence.bills)
    attempts = attempts_by_id(evidence.calls)
    for request_id, (_call, attempt) in attempts.items():
        if attempt.run_state == 'not_run':
            findings.check(
                request_id not in ran,
                f'{request_id} ran but was refused as not run: {attempt.code}',
            )


def _at_most_once(evidence: Evidence, findings: _Findings) -> None:
    findings.checked = len({run.order_id for run in evidence.order_runs})
    findings.violations.extend(
        f'{order_id} was executed twice'
        for order_id in doubled_orders(evidence)
    )


def _planned_stop(evidence: Evidence, findings: _Findings) -> None:
    for call in evidence.calls:
        for attempt in call.attempts:
            # A router that still answers says itself that it does not know.
            broken = attempt.run_state == 'unknown' and attempt.code in BROKEN
            if attempt.entry in evidence.drained:
                findings.check(
                    not broken,
                    f'call {call.planned.number} lost its connection to '
                    f'{attempt.entry}: {attempt.code}',
                )


def _never_reverts(evidence: Evidence, findings: _Findings) -> None:
    accepted = {
        one.generation: one.digest
        for one in evidence.publications
        if one.accepted
    }
    for one in evidence.publications:
        if one.accepted:
            findings.check(
                accepted[one.generation] == one.digest,
                f'generation {one.generation} was accepted twice',
            )
    highest: dict[str, int] = {}
    for seen in sorted(evidence.statuses, key=lambda one: one.at):
        known = highest.get(seen.process, 0)
        findings.check(
            seen.generation >= known,
            f'{seen.process} went from {known} to {seen.generation}',
        )
        findings.check(
            accepted.get(seen.generation, seen.digest) == seen.digest,
            f'{seen.process} has another generation {seen.generation}',
        )
        highest[seen.process] = max(known, seen.generation)
    last = max(accepted, default=0)
    for process in evidence.final:
        findings.check(
            process.generation >= last,
            f'{process.process} ended with {process.generation} not {last}',
        )


PROMISES: Mapping[str, Callable[[Evidence, _Findings], None]] = {
    'permitted version only': _permitted,
    'no new work on a withdrawn version': _withdrawn,
    'session keeps its version': _session,
    'billed exactly once': _billed_once,
    "whole answer of one's own request": _whole,
    'a true not_run': _not_run,
    'no doubled order': _at_most_once,
    'a planned stop interrupts no request': _planned_stop,
    'configuration never reverts': _never_reverts,
}
