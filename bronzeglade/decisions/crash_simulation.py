"""Simulated nodes, endpoints and prompts, for tests of crashing segments.

One thread and virtual time: requests come at random nodes, endpoints crash on a
segment or at random, and nodes exchange their evidence with losses.
"""

import dataclasses
import datetime as dt
import random

from bronzeglade.builders import ManualClock
from bronzeglade.decisions import crashing_segments

SERVICE = 's'
BAD = 'bad'
STEP = dt.timedelta(milliseconds=50)
EXCHANGE_STEPS = 8
MAX_ATTEMPTS = 3
# Steps until an endpoint begins to answer, and until a crashed one is back.
BEGIN_STEPS = (2, 12)
BACK_STEPS = (30, 80)


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """What happens in a step, as probabilities.

    `crash` is that of a crash of one endpoint, and `outage` that of all of them
    at once, for reasons other than prompts.
    """

    sound: float = 0.6
    bad: float = 0
    crash: float = 0
    outage: float = 0
    loss: float = 0.1


@dataclasses.dataclass(slots=True)
class Run:
    """A request at an endpoint that has not begun to answer it."""

    node: int
    names: tuple[str, ...]
    begins_at: int
    attempt: int


class CrashSimulation:
    """The nodes and endpoints of a fleet.

    `crashes` holds the steps at which endpoints crashed on the bad segment,
    `arrivals` those at which a request with it reached an endpoint, and
    `first_attempts` the step of each sound request and whether an endpoint
    began to answer its first attempt.
    """

    def __init__(self, traffic: Traffic, nodes: int, seed: int) -> None:
        """Start with all endpoints running."""
        self.traffic = traffic
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.nodes = [crashing_segments.new(self.clock) for _ in range(nodes)]
        self.step_number = 0
        self.processes = dict.fromkeys(range(5), 0)
        self.down_until = dict.fromkeys(self.processes, 0)
        self.running: dict[int, list[Run]] = {
            number: [] for number in self.processes
        }
        self.crashes: list[int] = []
        self.arrivals: list[int] = []
        self.first_attempts: list[tuple[int, bool]] = []

    def run(self, duration: dt.timedelta) -> None:
        """Let time pass."""
        for _ in range(duration // STEP):
            self._step()

    def verdicts(self) -> set[frozenset[str]]:
        """Return the segments that some node refuses."""
        return {
            verdict.names
            for node in self.nodes
            for verdict in node._verdicts(SERVICE)  # noqa: SLF001
        }

    def _step(self) -> None:
        self.clock.advance(STEP)
        self.step_number += 1
        self._begin_answers()
        if self.rng.random() < self.traffic.sound:
            self._send(Run(self._any_node(), self._sound_names(), 0, 0))
        if self.rng.random() < self.traffic.bad:
            self._send(Run(self._any_node(), self._bad_names(), 0, 0))
        if self.rng.random() < self.traffic.crash:
            self._crash(self.rng.choice(list(self.processes)))
        if self.rng.random() < self.traffic.outage:
            for number in self.processes:
                self._crash(number)
        if self.step_number % EXCHANGE_STEPS == 0:
            self._exchange()

    def _any_node(self) -> int:
        return self.rng.randrange(len(self.nodes))

    def _sound_names(self) -> tuple[str, ...]:
        # The second segments have a long tail of rare ones.
        rare = int(self.rng.paretovariate(0.7))
        return f'first-{self.rng.randrange(3)}', f'second-{rare}'

    def _bad_names(self) -> tuple[str, ...]:
        first, second = self._sound_names()
        if self.rng.randrange(2):
            return BAD, second
        return first, BAD

    def _send(self, run: Run) -> None:
        node = self.nodes[run.node]
        up = [
            number
            for number, until in self.down_until.items()
            if until <= self.step_number
        ]
        refused = node.find_verdict(SERVICE, run.names) is not None
        if run.attempt == 0 and (refused or not up):
            self._record_first(run, begun=False)
        if refused or not up:
            return
        run.begins_at = self.step_number + self.rng.randint(*BEGIN_STEPS)
        self.running[self.rng.choice(up)].append(run)
        if BAD in run.names:
            self.arrivals.append(self.step_number)

    def _record_first(self, run: Run, begun: bool) -> None:
        if BAD not in run.names:
            self.first_attempts.append((self.step_number, begun))

    def _begin_answers(self) -> None:
        for number, runs in self.running.items():
            due = [run for run in runs if run.begins_at <= self.step_number]
            for run in due:
                if run not in self.running[number]:
                    continue  # ended by a crash in this step
                if BAD in run.names:
                    self.crashes.append(self.step_number)
                    self._crash(number)
                    continue
                self.running[number].remove(run)
                self.nodes[run.node].record_sound(SERVICE, run.names)
                if run.attempt == 0:
                    self._record_first(run, begun=True)

    def _crash(self, number: int) -> None:
        if self.down_until[number] > self.step_number:
            return
        self.processes[number] += 1
        process = f'{number}/{self.processes[number]}'
        self.down_until[number] = self.step_number + self.rng.randint(
            *BACK_STEPS
        )
        ended = self.running[number]
        self.running[number] = []
        for run in ended:
            if run.attempt == 0:
                self._record_first(run, begun=False)
            node = self.nodes[run.node]
            repeats = not node.is_suspect(SERVICE, run.names)
            node.record_crash(SERVICE, run.names, process)
            if repeats and run.attempt + 1 < MAX_ATTEMPTS:
                self._send(Run(run.node, run.names, 0, run.attempt + 1))

    def _exchange(self) -> None:
        sent = [node.take_news() for node in self.nodes]
        for sender, news in enumerate(sent):
            for receiver, node in enumerate(self.nodes):
                lost = self.rng.random() < self.traffic.loss
                if receiver != sender and not lost:
                    node.merge(news)
