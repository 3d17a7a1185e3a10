"""Allowances of teams over all nodes, without a write for each request."""

import collections
import dataclasses
import datetime as dt
from collections.abc import Mapping, Sequence

from bronzeglade.clock import Clock
from bronzeglade.outcome import Refusal, RunState

_MINUTE_S = 60
_STEPS_A_SECOND = 4
_LEAST_DEMAND = 0.01  # requests a second; less is not told
_LONGEST_SILENCE_S = 3  # after which a node's demand is forgotten
_SMALLEST_SHARE = 0.000001
_HALF = 0.5
Usage = Mapping[str, Sequence[float]]


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceSettings:
    """How far nodes can be apart; times in seconds.

    What a node used in the last `blind_s` may be unknown to others, for ever
    if it dies. It is at most `unreported` of the allowance.
    """

    blind_s: float = 1.5
    unreported: float = 0.04
    settle_s: float = 2  # a higher share counts when it has lasted so long
    demand_s: float = 4  # time constant of the demand
    idle_part: float = 0.05  # of the allowance, for nodes without demand
    idle_part_unused: float = 0.5  # the same while little is used


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Allowance of a team in a minute."""

    requests: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Amount:
    """Requests and tokens."""

    requests: float = 0
    tokens: float = 0

    def plus(self, other: 'Amount', factor: float = 1) -> 'Amount':
        """Return the sum with a multiple of another amount."""
        return Amount(
            self.requests + other.requests * factor,
            self.tokens + other.tokens * factor,
        )


class Window:
    """Use in the last minute, in steps of a quarter of a second.

    A step counts until its last moment is a minute old, so the use in any
    minute is never more than what is counted.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.steps: collections.deque[tuple[int, Amount]] = collections.deque()
        self.total = Amount()

    def add(self, now: float, amount: Amount) -> None:
        """Add what was used now; a negative amount gives back."""
        step = int(now * _STEPS_A_SECOND)
        self.total = self.total.plus(amount)
        if self.steps and self.steps[-1][0] == step:
            amount = self.steps.pop()[1].plus(amount)
        self.steps.append((step, amount))

    def sum(self, now: float) -> Amount:
        """Return the use in the last minute."""
        oldest = int((now - _MINUTE_S) * _STEPS_A_SECOND)
        while self.steps and self.steps[0][0] < oldest:
            _step, amount = self.steps.popleft()
            self.total = self.total.plus(amount, -1)
        return self.total

    def since(self, start: float) -> Amount:
        """Return the use since a time, its whole first step included."""
        total = Amount()
        for step, amount in reversed(self.steps):
            if step < int(start * _STEPS_A_SECOND):
                break
            total = total.plus(amount)
        return total


@dataclasses.dataclass(slots=True)
class _Team:
    """What is known of a team's use."""

    own: Window = dataclasses.field(default_factory=Window)
    others: Window = dataclasses.field(default_factory=Window)
    used: Amount = Amount()  # by this node since it started
    heard: dict[str, Amount] = dataclasses.field(default_factory=dict)
    demands: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    totals: dict[str, tuple[float, Amount]] = dataclasses.field(
        default_factory=dict
    )
    demand: float = 0
    updated: float = 0
    shares: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )


class Allowances:
    """This node's part in the allowances of all teams.

    A request is admitted while the known use of all nodes and this node's
    unreported use, divided by its share, stay within the allowance. Shares
    follow demand and add up to 1, so all nodes together stay within it.
    """

    def __init__(self, settings: AllowanceSettings, clock: Clock) -> None:
        """Know no teams.

        Args:
          settings: how far nodes can be apart.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.started = self._now()
        self.limits: dict[str, Limits] = {}
        self.nodes = 1
        self.teams: dict[str, _Team] = collections.defaultdict(_Team)

    def configure(self, limits: Mapping[str, Limits], nodes: int) -> None:
        """Take the allowances in force and the number of live nodes."""
        self.limits = dict(limits)
        self.nodes = max(1, nodes)

    def try_take(self, team: str, tokens: float) -> Refusal | None:
        """Take one request and some tokens.

        Args:
          team: who asks.
          tokens: expected tokens of prompt and answer.

        Returns:
          None, or a refusal with status 429; nothing has run.
        """
        limits = self.limits.get(team)
        if limits is None:
            return None
        now = self._now()
        state = self.teams[team]
        self._advance(state, now)
        state.demand += 1 / self.settings.demand_s
        amount = Amount(1, tokens)
        if self._fits(state, limits, amount, now):
            self._use(state, amount, now)
            return None
        return Refusal(
            429,
            'allowance_used',
            f'the allowance of team {team!r} in a minute is used',
            RunState.NOT_RUN,
            dt.timedelta(seconds=self._wait(state, limits, now)),
        )

    def settle(self, team: str, requests: float, tokens: float) -> None:
        """Correct what was taken.

        Args:
          team: who asked.
          requests: -1 for a request that did not run, else 0.
          tokens: used beyond what was expected, or negative.
        """
        if team in self.limits:
            amount = Amount(requests, tokens)
            self._use(self.teams[team], amount, self._now())

    def usage(self) -> dict[str, list[float]]:
        """Return what other nodes have to know of this one.

        For each active team: requests and tokens since the start of the node,
        the same in the last minute, the demand in requests a second, and what
        this node knows of the use of all nodes in the last minute.
        """
        now = self._now()
        document: dict[str, list[float]] = {}
        for name, state in self.teams.items():
            self._advance(state, now)
            recent = state.own.sum(now)
            total = recent.plus(state.others.sum(now))
            if (
                total.requests
                or recent.requests
                or state.demand > _LEAST_DEMAND
            ):
                document[name] = [
                    round(state.used.requests),
                    round(state.used.tokens),
                    round(recent.requests),
                    round(recent.tokens),
                    round(state.demand, 2),
                    round(total.requests),
                    round(total.tokens),
                ]
        return document

    def merge(self, peer: str, usage: Usage) -> None:
        """Take what another node tells.

        Use counts from when it is heard of, and stays counted for a minute
        when its node dies.

        Args:
          peer: origin of the node.
          usage: its document.
        """
        now = self._now()
        for name, told in usage.items():
            state = self.teams[name]
            used = Amount(*told[:2])
            # A node that started a moment ago meets peers late: when they used
            # what is not known, and the totals of older nodes stand for it.
            is_young = now - self.started < _MINUTE_S
            recent = Amount() if is_young else Amount(*told[2:4])
            known = state.heard.get(peer, used.plus(recent, -1))
            fresh = used.plus(known, -1)
            if fresh != Amount():
                state.others.add(now, fresh)
            state.heard[peer] = used
            state.demands[peer] = (now, told[4])
            state.totals[peer] = (now, Amount(*told[5:7]))

    def _use(self, state: _Team, amount: Amount, now: float) -> None:
        state.own.add(now, amount)
        state.used = state.used.plus(amount)

    def _fits(
        self, state: _Team, limits: Limits, amount: Amount, now: float
    ) -> bool:
        blind = state.own.since(now - self.settings.blind_s).plus(amount)
        own = state.own.sum(now)
        known = state.others.sum(now).plus(own)
        # A node that started a moment ago learns from the others what nodes
        # used that have died since.
        fresh = now - self.settings.settle_s
        totals = [total for at, total in state.totals.values() if at > fresh]
        known = Amount(
            max([known.requests, *(one.requests for one in totals)]),
            max([known.tokens, *(one.tokens for one in totals)]),
        )
        known = known.plus(blind, -1).plus(amount)
        share = self._share(state, known.requests / max(1, limits.requests))
        return _allows(
            limits.requests, known.requests, blind.requests, share, self
        ) and _allows(limits.tokens, known.tokens, blind.tokens, share, self)

    def _share(self, state: _Team, used_part: float) -> float:
        settings = self.settings
        idle = settings.idle_part
        if used_part < _HALF:
            idle = settings.idle_part_unused
        lowest = min((share for _at, share in state.shares), default=0)
        return idle / self.nodes + (1 - idle) * lowest

    def _advance(self, state: _Team, now: float) -> None:
        passed = now - state.updated
        if passed <= 0:
            return
        state.updated = now
        state.demand *= 2 ** (-passed / self.settings.demand_s)
        fresh = now - _LONGEST_SILENCE_S
        state.demands = {
            peer: told
            for peer, told in state.demands.items()
            if told[0] > fresh
        }
        total = state.demand + sum(told[1] for told in state.demands.values())
        share = state.demand / total if total else 1 / self.nodes
        state.totals = {
            peer: told for peer, told in state.totals.items() if told[0] > fresh
        }
        state.shares.append((now, share))
        while state.shares[0][0] < now - self.settings.settle_s:
            state.shares.popleft()

    def _wait(self, state: _Team, limits: Limits, now: float) -> float:
        known = state.others.sum(now).plus(state.own.sum(now))
        if known.requests < limits.requests and known.tokens < limits.tokens:
            return self.settings.settle_s
        firsts = [
            window.steps[0][0] / _STEPS_A_SECOND
            for window in (state.own, state.others)
            if window.steps
        ]
        return max(1, min(firsts, default=now) + _MINUTE_S - now)

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()


def _allows(
    limit: float,
    known: float,
    blind: float,
    share: float,
    allowances: Allowances,
) -> bool:
    unreported = allowances.settings.unreported * limit
    if blind > max(1, unreported):
        return False
    return known + blind / max(share, _SMALLEST_SHARE) <= limit
