"""Randomised run of the real processes with faults; `make soak SEED=n`."""

import collections
import dataclasses
import random
import sys
import tempfile
import threading
import time
from pathlib import Path

from absl import app, flags

from fleet import checker, evidence, report
from fleet.deployments import BROLGA, Deployment
from fleet.faults import Injector, schedule
from fleet.history import Call, Kind
from fleet.launch import SHORT_MAX_AGE, Fleet, interrupt_on_signals
from fleet.load import Source, callers, plan, run_calls
from fleet.operator import Document, Operator, add_rollout

SEED = flags.DEFINE_integer('seed', 1, 'Seed of load and faults.')
SECONDS = flags.DEFINE_float('seconds', 60, 'Length of the load.')
PER_MINUTE = flags.DEFINE_float('faults_per_minute', 11, 'Rate of faults.')
LOGS = flags.DEFINE_string('logs', '', 'Directory that keeps the logs.')

SETTLE_S = 60.0
LOAD_S = 1.0  # time in which an engine loads a version
ORDER_PATH = '/services/sightings/sightings'
PINNED = 'guide-large@v2'


def soak_deployment() -> Deployment:
    """Return Brolga's deployment with a version to withdraw and one to try.

    The version to try is loaded by order. With every fourth seed the engines
    ignore the fencing token of orders; the router then waits for the longest
    time of an order first, so that such a run has to be longer.
    """
    versions = [
        {'name': 'v1', 'state': 'serving'},
        {'name': 'v2', 'state': 'serving'},
        {'name': 'v3', 'state': 'allowed'},
    ]
    names = tuple(version['name'] for version in versions)
    return dataclasses.replace(
        BROLGA,
        models=tuple(
            {**model, 'versions': versions}
            if model['name'] == 'guide-large'
            else model
            for model in BROLGA.models
        ),
        endpoints=tuple(
            dataclasses.replace(
                one,
                versions=names,
                preloaded=names[:2],
                load_s=LOAD_S,
                checks_fencing=SEED.value % 4 != 0,
            )
            if one.model == 'guide-large'
            else one
            for one in BROLGA.endpoints
        ),
    )


def restrict(document: Document) -> None:
    """Allow one team a single version of the large model."""
    for team in document['teams']:
        if team['name'] == 'call-id':
            team['grants'][1]['versions'] = ['v1']


def sources() -> list[Source]:
    """Return the load: about 36 requests a second."""
    urgent = ('dawn-survey', 'photo-id', 'raptor-watch')
    others = ('atlas', 'wader-group', 'school-walks')
    return [
        Source(Kind.CHAT, 5, urgent, 'urgent', 'identify', sessions=20),
        Source(Kind.CHAT, 5, urgent, 'urgent', 'guide-large', sessions=20),
        Source(
            Kind.CHAT,
            7,
            others,
            'standard',
            'guide-large',
            sessions=20,
            stream_share=0.6,
        ),
        Source(Kind.CHAT, 6, others, 'standard', 'guide-small', 24),
        Source(Kind.CHAT, 2, ('call-id',), 'standard', 'guide-large'),
        Source(Kind.CHAT, 3, others, 'standard', PINNED),
        Source(Kind.CHAT, 2, ('digest',), 'patient', 'guide-large', 64),
        Source(Kind.ORDER, 4, urgent, 'urgent', ORDER_PATH, keyed_share=1),
        Source(Kind.ORDER, 2, others, 'standard', ORDER_PATH),
    ]


class Log:
    """Prints lines with the time since the start of the load."""

    def __init__(self) -> None:
        """Start the clock."""
        self.started_at = time.monotonic()

    def say(self, text: str) -> None:
        """Print a line."""
        seconds = time.monotonic() - self.started_at
        sys.stdout.write(f'{seconds:6.1f} s  {text}\n')
        sys.stdout.flush()


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a run gave."""

    evidence: checker.Evidence
    faults: int
    seconds: float


def run(fleet: Fleet, log: Log) -> Result:
    """Run load and faults; return the evidence."""
    operator = Operator(fleet)
    operator.publish(add_rollout('guide-large', 'v1', 'v3'))
    injector = Injector(
        fleet, operator, random.Random(f'{SEED.value}/choices'), log.say
    )
    faults = schedule(
        list(injector.kinds),
        SECONDS.value,
        PER_MINUTE.value,
        random.Random(f'{SEED.value}/faults'),
    )
    calls = plan(sources(), SECONDS.value, SEED.value)
    by_team = callers(
        fleet.deployment, [entry.address for entry in fleet.entries()]
    )
    stopped = threading.Event()
    threads = [
        threading.Thread(target=operator.watch, args=(stopped,)),
        threading.Thread(target=injector.run, args=(faults,), daemon=True),
    ]
    log.started_at = time.monotonic()
    for thread in threads:
        thread.start()
    try:
        done = run_calls(calls, by_team, _ignore)
    finally:
        stopped.set()
    seconds = time.monotonic() - log.started_at
    for thread in threads:
        thread.join()
    injector.reset()
    final = operator.wait_until_active(SETTLE_S)
    drained = sorted(injector.drained - injector.disturbed)
    found = evidence.collect(fleet, operator, done, SETTLE_S, final, drained)
    return Result(found, injector.count, seconds)


def _ignore(_call: Call) -> None:
    """Take a call that has ended; the run's result holds it."""


def show(result: Result, verdicts: list[checker.Verdict]) -> None:
    """Print the numbers of the run and the verdicts."""
    found = result.evidence
    minutes = result.seconds / 60
    asked = len(found.calls)
    codes = collections.Counter(
        f'{attempt.run_state} {attempt.status} {attempt.code}'
        for call in found.calls
        for attempt in call.attempts
        if attempt.run_state != 'whole'
    )
    lines = [
        '',
        f'seed {SEED.value}: {asked} requests in {result.seconds:.0f} s '
        f'({asked / result.seconds:.1f}/s), {result.faults} faults '
        f'({result.faults / minutes:.1f}/min)',
        *report.ranks(found.calls),
        report.orders(found.calls),
        'attempts without an answer',
        *(f'{count:>6}  {code}' for code, count in codes.most_common()),
        report.resumed(found),
        report.activation(found),
        *report.ending(found, verdicts),
    ]
    sys.stdout.write('\n'.join(lines))


def main(_words: list[str]) -> None:
    """Run the soak; exit with 1 when a promise was broken."""
    interrupt_on_signals()
    log = Log()
    log.say(f'soak with seed {SEED.value} for {SECONDS.value:.0f} s')
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(
            soak_deployment(), Path(LOGS.value or directory), SHORT_MAX_AGE
        )
        restrict(fleet.document)
        with fleet:
            result = run(fleet, log)
    verdicts = checker.judge(result.evidence)
    show(result, verdicts)
    if any(verdict.violations for verdict in verdicts):
        sys.exit(1)


if __name__ == '__main__':
    app.run(main)
