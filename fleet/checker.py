"""Checks the router's invariants against the record of a run.

The evidence comes from outside the router: responses that callers received,
requests that endpoints executed and billing records in the table service.
Only the check of the active configuration uses reports of the router itself.
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
    ReportedStatus,
    Withdrawal,
)
from standins import answers

# A published configuration is active on every node within this time
# (docs/design.md).
MAX_ACTIVATION_S = 11.0

# Codes of attempts whose connection failed before the response was complete;
# the caller records the name of the exception.
CONNECTION_ERRORS = frozenset(
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
    """The record of a run that the invariants are checked against.

    `grants` holds the models and versions that each team may use; `final`
    holds the configuration that each process reported after all faults had
    ended; `drained` holds the addresses of entry processes that were stopped
    gracefully and neither killed nor paused; `halts` lists versions whose
    roll-out may have been halted, after which their sessions may be rebound.
    """

    calls: Sequence[Call] = ()
    engine_runs: Sequence[EngineRun] = ()
    order_runs: Sequence[OrderRun] = ()
    bills: Sequence[Bill] = ()
    grants: Grants = dataclasses.field(default_factory=dict)
    withdrawals: Sequence[Withdrawal] = ()
    publications: Sequence[Publication] = ()
    statuses: Sequence[ReportedStatus] = ()
    final: Sequence[ReportedStatus] = ()
    drained: frozenset[str] = frozenset()
    halts: Sequence[Withdrawal] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of checking one invariant.

    `checked` is the number of cases; 0 means that the run did not exercise
    the invariant.
    """

    invariant: str
    checked: int
    violations: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Findings:
    checked: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, holds: bool, violation: str) -> None:
        """Count a checked case; record the violation if it does not hold."""
        self.checked += 1
        if not holds:
            self.violations.append(violation)


def check_invariants(evidence: Evidence) -> list[Verdict]:
    """Check every invariant."""
    verdicts: list[Verdict] = []
    for invariant, check in INVARIANTS.items():
        findings = _Findings()
        check(evidence, findings)
        verdicts.append(
            Verdict(invariant, findings.checked, tuple(findings.violations))
        )
    return verdicts


def attempts_by_id(calls: Iterable[Call]) -> dict[str, tuple[Call, Attempt]]:
    """Index the attempts, with their calls, by request id.

    Attempts without a request id are omitted: the caller received none.
    """
    return {
        attempt.request_id: (call, attempt)
        for call in calls
        for attempt in call.attempts
        if attempt.request_id
    }


def unbilled(evidence: Evidence) -> list[str]:
    """Return the ids of completed requests without a billing record."""
    billed = {bill.request_id for bill in evidence.bills}
    return [
        request_id
        for request_id in _completed_chat_ids(evidence)
        if request_id not in billed
    ]


def billed_twice(evidence: Evidence) -> list[str]:
    """Return the ids of requests with more than one billing record."""
    counts = collections.Counter(bill.request_id for bill in evidence.bills)
    return [request_id for request_id, count in counts.items() if count > 1]


def duplicate_orders(evidence: Evidence) -> list[str]:
    """Return the ids of orders that were executed more than once."""
    counts = collections.Counter(run.order_id for run in evidence.order_runs)
    return [order_id for order_id, count in counts.items() if count > 1]


def _completed_chat_ids(evidence: Evidence) -> Iterator[str]:
    for call in evidence.calls:
        if call.planned.kind is Kind.CHAT and call.outcome is Outcome.COMPLETE:
            yield call.attempts[-1].request_id


def _check_permitted_versions(evidence: Evidence, findings: _Findings) -> None:
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


def _check_withdrawn_versions(evidence: Evidence, findings: _Findings) -> None:
    for withdrawal in evidence.withdrawals:
        since = withdrawal.since + MAX_ACTIVATION_S
        for run in evidence.engine_runs:
            is_new = not run.resumed_from and (
                since < run.received_at < withdrawal.until
            )
            if is_new and run.model == withdrawal.model:
                findings.check(
                    run.version != withdrawal.version,
                    f'{run.request_id} ran on withdrawn version {run.version} '
                    f'{run.received_at - withdrawal.since:.1f} s after its '
                    'withdrawal',
                )


def _check_session_versions(evidence: Evidence, findings: _Findings) -> None:
    calls = attempts_by_id(evidence.calls)
    runs: dict[tuple[str, str, str], list[EngineRun]] = {}
    for run in evidence.engine_runs:
        matched = calls.get(run.request_id)
        if matched and matched[0].planned.session and _is_unpinned(matched[0]):
            planned = matched[0].planned
            key = (planned.team, planned.session, run.model)
            runs.setdefault(key, []).append(run)
    for session, session_runs in runs.items():
        retained = {
            run.version
            for run in session_runs
            if not _may_be_rebound_from(evidence, run.model, run.version)
        }
        # Only a withdrawal or halt may move a session to another version.
        # Between two such events, all requests of the session must run on the
        # same version. Requests that still run on a version that an earlier
        # event took out of service are not counted.
        epochs: dict[int, set[str]] = {}
        for run in session_runs:
            earlier = _rebinding_events_before(evidence, run)
            if run.version not in {event.version for event in earlier}:
                epochs.setdefault(len(earlier), set()).add(run.version)
        findings.check(
            len(retained) <= 1
            and all(len(versions) <= 1 for versions in epochs.values()),
            f'{session} ran on versions {_versions(session_runs)}',
        )


def _versions(runs: Iterable[EngineRun]) -> list[str]:
    return sorted({run.version for run in runs})


def _is_unpinned(call: Call) -> bool:
    return '@' not in call.planned.target


def _may_be_rebound_from(evidence: Evidence, model: str, version: str) -> bool:
    return any(
        (event.model, event.version) == (model, version)
        for event in _rebinding_events(evidence)
    )


def _rebinding_events_before(
    evidence: Evidence, run: EngineRun
) -> list[Withdrawal]:
    return [
        event
        for event in _rebinding_events(evidence)
        if event.model == run.model and event.since <= run.received_at
    ]


def _rebinding_events(evidence: Evidence) -> list[Withdrawal]:
    return [*evidence.withdrawals, *evidence.halts]


def _check_bills(evidence: Evidence, findings: _Findings) -> None:
    missing = set(unbilled(evidence))
    for request_id in _completed_chat_ids(evidence):
        findings.check(request_id not in missing, f'{request_id} not billed')
    findings.violations.extend(
        f'{request_id} billed twice' for request_id in billed_twice(evidence)
    )
    executed_ids = {run.request_id for run in evidence.engine_runs}
    findings.violations.extend(
        f'{bill.request_id} billed but not executed'
        for bill in evidence.bills
        if bill.request_id not in executed_ids
    )
    _check_amounts(evidence, findings)


def _check_amounts(evidence: Evidence, findings: _Findings) -> None:
    calls = attempts_by_id(evidence.calls)
    for bill in evidence.bills:
        matched = calls.get(bill.request_id)
        if matched and matched[0].outcome is Outcome.COMPLETE:
            answer = matched[0].answer
            findings.check(
                bill.usage.completion_tokens >= answer.completion_tokens
                and bill.team == matched[0].planned.team,
                f'{bill.request_id} billed to {bill.team} with '
                f'{bill.usage.completion_tokens} tokens',
            )


def _check_answers(evidence: Evidence, findings: _Findings) -> None:
    for call in evidence.calls:
        label = f'call {call.planned.number}'
        if call.outcome is Outcome.TRUNCATED:
            findings.check(False, f'{label}: response truncated')
        if call.outcome is Outcome.COMPLETE:
            findings.check(
                _is_own_answer(call),
                f'{label}: wrong answer {call.answer!r:.120}',
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


def _check_not_run(evidence: Evidence, findings: _Findings) -> None:
    executed_ids = {run.request_id for run in evidence.engine_runs}
    executed_ids.update(run.request_id for run in evidence.order_runs)
    executed_ids.update(bill.request_id for bill in evidence.bills)
    attempts = attempts_by_id(evidence.calls)
    for request_id, (_call, attempt) in attempts.items():
        if attempt.run_state == 'not_run':
            findings.check(
                request_id not in executed_ids,
                f'{request_id} was executed but refused as not_run: '
                f'{attempt.code}',
            )


def _check_at_most_once(evidence: Evidence, findings: _Findings) -> None:
    findings.checked = len({run.order_id for run in evidence.order_runs})
    findings.violations.extend(
        f'{order_id} was executed twice'
        for order_id in duplicate_orders(evidence)
    )


def _check_graceful_stops(evidence: Evidence, findings: _Findings) -> None:
    for call in evidence.calls:
        for attempt in call.attempts:
            # Run state `unknown` alone does not mean a lost connection: the
            # router may have reported it in an error response.
            is_connection_lost = (
                attempt.run_state == 'unknown'
                and attempt.code in CONNECTION_ERRORS
            )
            if attempt.entry in evidence.drained:
                findings.check(
                    not is_connection_lost,
                    f'call {call.planned.number} lost its connection to '
                    f'{attempt.entry}: {attempt.code}',
                )


def _check_configuration(evidence: Evidence, findings: _Findings) -> None:
    accepted = {
        publication.generation: publication.digest
        for publication in evidence.publications
        if publication.accepted
    }
    for publication in evidence.publications:
        if publication.accepted:
            findings.check(
                accepted[publication.generation] == publication.digest,
                f'generation {publication.generation} was accepted twice',
            )
    highest_generations: dict[str, int] = {}
    for status in sorted(evidence.statuses, key=lambda status: status.at):
        highest = highest_generations.get(status.process, 0)
        findings.check(
            status.generation >= highest,
            f'{status.process} reverted from generation {highest} to '
            f'{status.generation}',
        )
        findings.check(
            accepted.get(status.generation, status.digest) == status.digest,
            f'{status.process} has a different digest for generation '
            f'{status.generation}',
        )
        highest_generations[status.process] = max(highest, status.generation)
    latest_generation = max(accepted, default=0)
    for final in evidence.final:
        findings.check(
            final.generation >= latest_generation,
            f'{final.process} ended with generation {final.generation}, '
            f'not {latest_generation}',
        )


INVARIANTS: Mapping[str, Callable[[Evidence, _Findings], None]] = {
    'permitted version only': _check_permitted_versions,
    'no new work on a withdrawn version': _check_withdrawn_versions,
    'session keeps its version': _check_session_versions,
    'billed exactly once': _check_bills,
    'complete answer to its own request': _check_answers,
    'not_run means not executed': _check_not_run,
    'no order executed twice': _check_at_most_once,
    'graceful stop interrupts no request': _check_graceful_stops,
    'configuration never reverts': _check_configuration,
}
