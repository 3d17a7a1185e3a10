"""Faults that a randomised run causes, and their schedule."""

import contextlib
import dataclasses
import random
import signal
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

from fleet.launch import Fleet, Program
from fleet.operator import Document, Operator

FIRST_AT_S = 3.0
SHORTEST_S = 1.0
LONGEST_S = 6.0
# One entry process fails at a time: the design survives the failure of one
# process, and its records reach the table or another node in this time.
RECOVERY_S = 5.0
WITHDRAW_TRIES = 8
WITHDRAWAL = 'version withdrawn'
KILL = 'kill entry'
PAUSE = 'pause entry'
REPLACE = 'replace entry VM'
ENTRY_KINDS = frozenset((KILL, PAUSE, REPLACE))


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that begins at a time and lasts; seconds from the start."""

    at: float
    kind: str
    lasts: float


def schedule(
    kinds: list[str], seconds: float, per_minute: float, draw: random.Random
) -> list[Fault]:
    """Return the faults of a run.

    The withdrawal of a version comes once, after a third of the run; every
    other kind comes once, in random order, before any comes again.

    Args:
      kinds: names of faults.
      seconds: length of the run.
      per_minute: mean rate.
      draw: random source.
    """
    faults: list[Fault] = []
    deck: list[str] = []
    others = [kind for kind in kinds if kind != WITHDRAWAL]
    at = FIRST_AT_S
    has_withdrawn = False
    while at < seconds:
        deck = deck or draw.sample(others, len(others))
        lasts = draw.uniform(SHORTEST_S, LONGEST_S)
        is_due = at >= seconds / 3 and not has_withdrawn
        has_withdrawn = has_withdrawn or is_due
        faults.append(Fault(at, WITHDRAWAL if is_due else deck.pop(), lasts))
        at += draw.uniform(0.5, 1.5) * 60 / per_minute
    return faults


class Injector:
    """Causes faults in a fleet and ends them."""

    def __init__(
        self,
        fleet: Fleet,
        operator: Operator,
        draw: random.Random,
        say: Callable[[str], None],
    ) -> None:
        """Create an injector that has caused nothing.

        Args:
          fleet: a started fleet.
          operator: publishes during the run.
          draw: random source.
          say: writes a line of the fault log.
        """
        self.fleet = fleet
        self.operator = operator
        self.draw = draw
        self.say = say
        self.entry_lock = threading.Lock()
        self.disturbed: set[str] = set()
        self.drained: set[str] = set()
        self.count = 0
        self.kinds: Mapping[str, Callable[[float], str]] = {
            KILL: self._kill,
            PAUSE: self._pause,
            REPLACE: self._replace,
            'table outage': self._table(outage=1),
            'table slow': self._table(slow_s=0.4),
            'table loses replies': self._table(lost_replies=0.3),
            'table loses requests': self._table(lost_requests=0.3),
            'services drop connections': self._services,
            'engines cut streams': self._engines(cut_streams=0.3),
            'engines cross answers': self._engines(crossed=0.3),
            'engine fails': self._engines(errors=0.5),
            'bad version': self._engines(bad_version='v3'),
            'concurrent publications': self._publish_twice,
            'VM list lags': self._vm_list(lag_s=8),
            'VM list outage': self._vm_list(outage=1),
            'rating outage': self._ratings,
            WITHDRAWAL: self._withdraw,
        }

    def run(self, faults: list[Fault]) -> None:
        """Cause faults at their times; return when all have ended."""
        started_at = time.monotonic()
        threads: list[threading.Thread] = []
        for fault in faults:
            time.sleep(max(0, started_at + fault.at - time.monotonic()))
            thread = threading.Thread(
                target=self._cause, args=(fault,), daemon=True
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def reset(self) -> None:
        """End every fault of the stand-ins."""
        for program in self.fleet.running():
            if program.role != 'entry':
                self.fleet.cause(program, {'reset': True})

    def _cause(self, fault: Fault) -> None:
        one_at_a_time: contextlib.AbstractContextManager[Any] = (
            contextlib.nullcontext()
        )
        if fault.kind in ENTRY_KINDS:
            one_at_a_time = self.entry_lock
        with one_at_a_time:
            self.count += 1
            self.say(f'begin {fault.kind}')
            detail = self.kinds[fault.kind](fault.lasts)
            self.say(f'end   {fault.kind}: {detail}')

    def _kill(self, _seconds: float) -> str:
        victim = self.draw.choice(self.fleet.entries())
        self.disturbed.add(victim.address)
        self.fleet.kill(victim)
        added = self.fleet.add_entry(victim.failure_domain)
        time.sleep(RECOVERY_S)
        # The list shows a dead VM for a while.
        self.fleet.register([victim], 'gone')
        return f'{victim.name} killed, {added.name} started'

    def _pause(self, seconds: float) -> str:
        victim = self.draw.choice(self.fleet.entries())
        self.disturbed.add(victim.address)
        victim.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        victim.process.send_signal(signal.SIGCONT)
        time.sleep(RECOVERY_S)
        return f'{victim.name} paused for {seconds:.1f} s'

    def _replace(self, _seconds: float) -> str:
        old = self.draw.choice(self.fleet.entries())
        added = self.fleet.add_entry(old.failure_domain)
        self.drained.add(old.address)
        self.fleet.drain(old)
        code = old.process.returncode
        return f'{old.name} stopped with code {code}, {added.name} started'

    def _table(self, **faults: Any) -> Callable[[float], str]:
        return self._platform('table', faults)

    def _vm_list(self, **faults: Any) -> Callable[[float], str]:
        return self._platform('vms', faults)

    def _ratings(self, seconds: float) -> str:
        return self._platform('ratings', {'outage': 1})(seconds)

    def _platform(
        self, role: str, faults: dict[str, Any]
    ) -> Callable[[float], str]:
        def cause(seconds: float) -> str:
            return self._hold(self.fleet.of_role(role), faults, seconds)

        return cause

    def _engines(self, **faults: Any) -> Callable[[float], str]:
        def cause(seconds: float) -> str:
            return self._hold(self._endpoints(has_model=True), faults, seconds)

        return cause

    def _services(self, seconds: float) -> str:
        faults = {'drop_before': 0.3, 'drop_after': 0.3, 'errors': 0.1}
        return self._hold(self._endpoints(has_model=False), faults, seconds)

    def _endpoints(self, has_model: bool) -> list[Program]:
        return [
            program
            for plan in self.fleet.deployment.endpoints
            if (plan.model is not None) == has_model
            for program in self.fleet.of_role(plan.group)
        ]

    def _hold(
        self, programs: list[Program], faults: dict[str, Any], seconds: float
    ) -> str:
        for program in programs:
            self.fleet.cause(program, faults)
        time.sleep(seconds)
        # The normal value of these faults is 0 or an empty text.
        normal = {name: type(value)() for name, value in faults.items()}
        for program in programs:
            self.fleet.cause(program, normal)
        return f'{faults} for {seconds:.1f} s on {len(programs)} processes'

    def _publish_twice(self, _seconds: float) -> str:
        accepted: list[bool] = []

        def publish(weight: int) -> None:
            accepted.append(
                self.operator.publish(lambda one: set_weight(one, weight))
            )

        threads = [
            threading.Thread(target=publish, args=(weight,))
            for weight in (2, 3)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return f'{sum(accepted)} of 2 accepted'

    def _withdraw(self, _seconds: float) -> str:
        for _try in range(WITHDRAW_TRIES):
            if self.operator.withdraw('guide-large', 'v2'):
                return 'guide-large v2, accepted'
            time.sleep(1)
        return 'guide-large v2, not accepted'


def set_weight(document: Document, weight: int) -> None:
    """Change the weight of the last team."""
    document['teams'][-1]['weight'] = weight
