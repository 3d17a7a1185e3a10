"""Demonstrates a fleet under load, a roll-out, a flood and a process crash."""

import collections
import sys
import tempfile
import threading
import time
from pathlib import Path

from absl import app, flags

from fleet import checker, evidence, report
from fleet.checker import Evidence
from fleet.deployments import BROLGA
from fleet.history import Call, Kind, Outcome
from fleet.launch import SHORT_DRAIN_OPTIONS, Fleet, interrupt_on_signals
from fleet.load import LoadSource, create_callers, plan_calls, run_calls
from fleet.operator import Operator, rollout_change

SEED = flags.DEFINE_integer('seed', 1, 'Seed of the load.')
LOAD_S = flags.DEFINE_float(
    'load_seconds', 28, 'Duration of the load in seconds.'
)

ROLLOUT_AT_S = 3.0
FLOOD_AT_S = 8.0
FLOOD_END_S = 15.0
KILL_AT_S = 18.0
SETTLE_S = 12.0
PROGRESS_S = 2.0


def load_sources() -> list[LoadSource]:
    """Return the load: normal traffic and a flood of `patient` requests."""
    urgent_teams = ('dawn-survey', 'photo-id', 'raptor-watch')
    other_teams = ('atlas', 'call-id', 'wader-group', 'school-walks')
    return [
        LoadSource(
            Kind.CHAT, 4, urgent_teams, 'urgent', 'identify', sessions=40
        ),
        LoadSource(
            Kind.CHAT, 3, urgent_teams, 'urgent', 'guide-large', sessions=40
        ),
        LoadSource(
            Kind.CHAT, 5, other_teams, 'standard', 'guide-large', sessions=99
        ),
        LoadSource(Kind.CHAT, 5, other_teams, 'standard', 'guide-small'),
        LoadSource(Kind.CHAT, 2, ('digest',), 'patient', 'guide-large', 48),
        LoadSource(
            Kind.CHAT,
            60,
            ('digest',),
            'patient',
            'guide-large',
            tokens=64,
            start=FLOOD_AT_S,
            end=FLOOD_END_S,
        ),
        LoadSource(
            Kind.ORDER,
            4,
            urgent_teams,
            'urgent',
            '/services/sightings/sightings',
            keyed_fraction=1,
        ),
    ]


class Progress:
    """Prints events and call counts with the elapsed time."""

    def __init__(self) -> None:
        """Start the clock."""
        self.started_at = time.monotonic()
        self.outcomes: collections.Counter[Outcome] = collections.Counter()

    def log(self, text: str) -> None:
        """Print a line that starts with the elapsed seconds."""
        seconds = time.monotonic() - self.started_at
        sys.stdout.write(f'{seconds:5.1f} s  {text}\n')
        sys.stdout.flush()

    def count(self, call: Call) -> None:
        """Count a call that has ended, by its outcome."""
        self.outcomes[call.outcome] += 1

    def print_counts(self, stopped: threading.Event) -> None:
        """Print the counts every `PROGRESS_S` until stopped."""
        while not stopped.wait(PROGRESS_S):
            counts = ', '.join(
                f'{outcome.value} {number}'
                for outcome, number in sorted(self.outcomes.items())
            )
            self.log(f'calls ended: {counts or "none yet"}')


def run_events(
    fleet: Fleet, operator: Operator, progress: Progress, started_at: float
) -> None:
    """Publish a roll-out, report the flood and kill the last entry process."""
    _sleep_until(started_at + ROLLOUT_AT_S)
    accepted = operator.publish(rollout_change('guide-large', 'v1', 'v2'))
    progress.log(
        f'published a roll-out of guide-large v1 to v2: accepted={accepted}'
    )
    _sleep_until(started_at + FLOOD_AT_S)
    progress.log('flood of patient requests begins: 60 requests/s of 64 tokens')
    _sleep_until(started_at + FLOOD_END_S)
    progress.log('flood ends')
    _sleep_until(started_at + KILL_AT_S)
    killed_entry = fleet.entries()[-1]
    fleet.kill(killed_entry)
    fleet.register([killed_entry], 'gone')
    progress.log(f'killed {killed_entry.name} with SIGKILL')


def _sleep_until(due_at: float) -> None:
    time.sleep(max(0, due_at - time.monotonic()))


def run(fleet: Fleet, progress: Progress) -> Evidence:
    """Run the load and the events; return the collected evidence."""
    operator = Operator(fleet)
    calls = plan_calls(load_sources(), LOAD_S.value, SEED.value)
    callers_by_team = create_callers(
        BROLGA, [entry.address for entry in fleet.entries()]
    )
    progress.log(f'{len(fleet.programs)} processes run; {len(calls)} calls')
    stopped = threading.Event()
    threads = [
        threading.Thread(target=operator.record_statuses, args=(stopped,)),
        threading.Thread(target=progress.print_counts, args=(stopped,)),
        threading.Thread(
            target=run_events,
            args=(fleet, operator, progress, time.monotonic()),
        ),
    ]
    for thread in threads:
        thread.start()
    try:
        ended_calls = run_calls(calls, callers_by_team, progress.count)
    finally:
        stopped.set()
    for thread in threads:
        thread.join()
    progress.log('all calls have ended; reading the ledger')
    final_statuses = operator.wait_until_active(SETTLE_S)
    return evidence.collect(
        fleet, operator, ended_calls, SETTLE_S, final_statuses
    )


def print_summary(collected: Evidence, verdicts: list[checker.Verdict]) -> None:
    """Print the result tables and the verdicts."""
    prices = {
        model['name']: (model['prompt_cost'], model['completion_cost'])
        for model in BROLGA.models
    }
    billed_twice = len(checker.billed_twice(collected))
    unbilled = len(checker.unbilled(collected))
    billed_once = (
        len({bill.request_id for bill in collected.bills}) - billed_twice
    )
    lines = [
        '',
        *report.rank_table(collected.calls),
        '',
        report.order_line(collected.calls)
        + f', doubled {len(checker.duplicate_orders(collected))}',
        f'billing    once {billed_once}, twice {billed_twice}, '
        f'unbilled {unbilled}',
        report.cost_line(collected.bills, prices),
        '',
        *report.closing_lines(collected, verdicts),
    ]
    sys.stdout.write('\n'.join(lines))


def main(_arguments: list[str]) -> None:
    """Run the demonstration; exit with status 1 if an invariant is violated."""
    interrupt_on_signals()
    progress = Progress()
    progress.log(f'starting the fleet of {BROLGA.name}, seed {SEED.value}')
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(BROLGA, Path(directory), SHORT_DRAIN_OPTIONS) as fleet:
            collected = run(fleet, progress)
        verdicts = checker.check_invariants(collected)
        print_summary(collected, verdicts)
    if any(verdict.violations for verdict in verdicts):
        sys.exit(1)


if __name__ == '__main__':
    app.run(main)
