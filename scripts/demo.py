"""A fleet serves, rolls a version out, is flooded and loses a process."""

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
from fleet.launch import SHORT_MAX_AGE, Fleet, interrupt_on_signals
from fleet.load import LoadSource, create_callers, plan_calls, run_calls
from fleet.operator import Operator, add_rollout

SEED = flags.DEFINE_integer('seed', 1, 'Seed of the load.')
LOAD_S = flags.DEFINE_float('load_seconds', 28, 'Length of the load.')

ROLLOUT_AT_S = 3.0
FLOOD_AT_S = 8.0
FLOOD_END_S = 15.0
KILL_AT_S = 18.0
SETTLE_S = 12.0
PROGRESS_S = 2.0


def sources() -> list[LoadSource]:
    """Return the load: everyday work and a flood of patient work."""
    urgent = ('dawn-survey', 'photo-id', 'raptor-watch')
    others = ('atlas', 'call-id', 'wader-group', 'school-walks')
    return [
        LoadSource(Kind.CHAT, 4, urgent, 'urgent', 'identify', sessions=40),
        LoadSource(Kind.CHAT, 3, urgent, 'urgent', 'guide-large', sessions=40),
        LoadSource(
            Kind.CHAT, 5, others, 'standard', 'guide-large', sessions=99
        ),
        LoadSource(Kind.CHAT, 5, others, 'standard', 'guide-small'),
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
            urgent,
            'urgent',
            '/services/sightings/sightings',
            keyed_share=1,
        ),
    ]


class Progress:
    """Prints what happens with its time."""

    def __init__(self) -> None:
        """Start the clock."""
        self.started_at = time.monotonic()
        self.outcomes: collections.Counter[Outcome] = collections.Counter()

    def say(self, text: str) -> None:
        """Print a line."""
        seconds = time.monotonic() - self.started_at
        sys.stdout.write(f'{seconds:5.1f} s  {text}\n')
        sys.stdout.flush()

    def count(self, call: Call) -> None:
        """Count a call that has ended."""
        self.outcomes[call.outcome] += 1

    def watch(self, stopped: threading.Event) -> None:
        """Print the counts until stopped."""
        while not stopped.wait(PROGRESS_S):
            counts = ', '.join(
                f'{outcome.value} {number}'
                for outcome, number in sorted(self.outcomes.items())
            )
            self.say(f'calls ended: {counts or "none yet"}')


def events(
    fleet: Fleet, operator: Operator, progress: Progress, started_at: float
) -> None:
    """Publish the rollout, announce the flood and kill a process."""
    _sleep_until(started_at + ROLLOUT_AT_S)
    accepted = operator.publish(add_rollout('guide-large', 'v1', 'v2'))
    progress.say(
        f'published a rollout of guide-large v1 to v2: accepted={accepted}'
    )
    _sleep_until(started_at + FLOOD_AT_S)
    progress.say('flood of patient work begins: 60 requests/s of 64 tokens')
    _sleep_until(started_at + FLOOD_END_S)
    progress.say('flood ends')
    _sleep_until(started_at + KILL_AT_S)
    victim = fleet.entries()[-1]
    fleet.kill(victim)
    fleet.register([victim], 'gone')
    progress.say(f'killed {victim.name} with SIGKILL')


def _sleep_until(at: float) -> None:
    time.sleep(max(0, at - time.monotonic()))


def run(fleet: Fleet, progress: Progress) -> Evidence:
    """Run the load and the events; return the evidence."""
    operator = Operator(fleet)
    calls = plan_calls(sources(), LOAD_S.value, SEED.value)
    by_team = create_callers(
        BROLGA, [entry.address for entry in fleet.entries()]
    )
    progress.say(f'{len(fleet.programs)} processes run; {len(calls)} calls')
    stopped = threading.Event()
    threads = [
        threading.Thread(target=operator.watch, args=(stopped,)),
        threading.Thread(target=progress.watch, args=(stopped,)),
        threading.Thread(
            target=events, args=(fleet, operator, progress, time.monotonic())
        ),
    ]
    for thread in threads:
        thread.start()
    try:
        done = run_calls(calls, by_team, progress.count)
    finally:
        stopped.set()
    for thread in threads:
        thread.join()
    progress.say('all calls have ended; reading the ledger')
    final = operator.wait_until_active(SETTLE_S)
    return evidence.collect(fleet, operator, done, SETTLE_S, final)


def show(found: Evidence, verdicts: list[checker.Verdict]) -> None:
    """Print the tables."""
    prices = {
        model['name']: (model['prompt_cost'], model['completion_cost'])
        for model in BROLGA.models
    }
    twice = len(checker.billed_twice(found))
    unbilled = len(checker.unbilled(found))
    once = len({bill.request_id for bill in found.bills}) - twice
    lines = [
        '',
        *report.ranks(found.calls),
        '',
        report.orders(found.calls)
        + f', doubled {len(checker.duplicate_orders(found))}',
        f'billing    once {once}, twice {twice}, unbilled {unbilled}',
        report.cost(found.bills, prices),
        '',
        *report.closing_lines(found, verdicts),
    ]
    sys.stdout.write('\n'.join(lines))


def main(_words: list[str]) -> None:
    """Run the demonstration; exit with 1 when a promise was broken."""
    interrupt_on_signals()
    progress = Progress()
    progress.say(f'starting the fleet of {BROLGA.name}, seed {SEED.value}')
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(BROLGA, Path(directory), SHORT_MAX_AGE) as fleet:
            found = run(fleet, progress)
        verdicts = checker.check_invariants(found)
        show(found, verdicts)
    if any(verdict.violations for verdict in verdicts):
        sys.exit(1)


if __name__ == '__main__':
    app.run(main)
