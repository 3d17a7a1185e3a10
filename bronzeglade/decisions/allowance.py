"""Rate limits of teams across all nodes, without a write per request."""

import collections
import dataclasses
import datetime as dt
from collections.abc import Mapping, Sequence

from bronzeglade.clock import Clock
from bronzeglade.outcome import Refusal, RunState

_MINUTE_S = 60
_STEPS_PER_SECOND = 4
_MIN_DEMAND = 0.01  # requests per second; lower values are not reported
_MAX_REPORT_AGE_S = 3  # of the demand and totals of a peer
_MIN_SHARE = 0.000001
_LOW_USE_FRACTION = 0.5
# A usage report: the figures of each team, in the order of `usage`.
Usage = Mapping[str, Sequence[float]]


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceSettings:
    """Bounds of the usage that peers do not know; times in seconds.

    Attributes:
      report_lag_s: usage of a node in this last period may be unknown to its
        peers, and is lost if the node stops.
      max_unreported_fraction: maximum of that usage, as a fraction of the
        allowance.
      share_delay_s: a higher share of a node counts once it has lasted this
        long.
      demand_half_life_s: half-life of the measured demand.
      idle_fraction: fraction of the allowance that is split evenly between
        the nodes, so that those without demand can admit requests.
      idle_fraction_low_use: replaces `idle_fraction` while less than half of
        the allowance is used.
    """

    report_lag_s: float = 1.5
    max_unreported_fraction: float = 0.04
    share_delay_s: float = 2
    demand_half_life_s: float = 4
    idle_fraction: float = 0.05
    idle_fraction_low_use: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Allowance of a team per minute."""

    requests: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Amount:
    """An amount of requests and tokens."""

    requests: float = 0
    tokens: float = 0

    def plus(self, other: 'Amount', factor: float = 1) -> 'Amount':
        """Return the sum of this and `factor` times another amount."""
        return Amount(
            self.requests + other.requests * factor,
            self.tokens + other.tokens * factor,
        )


class Window:
    """Sliding window of the usage in the last minute.

    Usage is counted in steps of a quarter of a second. A step counts until its
    end is a minute old, so the usage in any minute never exceeds the count.
    """

    def __init__(self) -> None:
        """Create an empty window."""
        self.steps: collections.deque[tuple[int, Amount]] = collections.deque()
        self.total = Amount()

    def add(self, now: float, amount: Amount) -> None:
        """Add usage; a negative amount returns unused allowance."""
        step = int(now * _STEPS_PER_SECOND)
        self.total = self.total.plus(amount)
        if self.steps and self.steps[-1][0] == step:
            amount = self.steps.pop()[1].plus(amount)
        self.steps.append((step, amount))

    def sum(self, now: float) -> Amount:
        """Return the usage in the last minute."""
        oldest = int((now - _MINUTE_S) * _STEPS_PER_SECOND)
        while self.steps and self.steps[0][0] < oldest:
            _step, amount = self.steps.popleft()
            self.total = self.total.plus(amount, -1)
        return self.total

    def since(self, start: float) -> Amount:
        """Return the usage since a time, including the whole first step."""
        total = Amount()
        for step, amount in reversed(self.steps):
            if step < int(start * _STEPS_PER_SECOND):
                break
            total = total.plus(amount)
        return total


@dataclasses.dataclass(slots=True)
class _Team:
    """Usage and demand of a team, as known to this node.

    Attributes:
      own: usage of this node.
      peer_usage: usage reported by all peers, by time of the report.
      reported: last reported usage of each peer since its start.
      demands: time of the last report of each peer, and its demand.
      totals: the same with the usage of all nodes, as known to the peer.
      demand: demand at this node, in requests per second.
      shares: times and this node's shares of the demand of all nodes.
    """

    own: Window = dataclasses.field(default_factory=Window)
    peer_usage: Window = dataclasses.field(default_factory=Window)
    used: Amount = Amount()  # by this node, since its start
    reported: dict[str, Amount] = dataclasses.field(default_factory=dict)
    demands: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    totals: dict[str, tuple[float, Amount]] = dataclasses.field(
        default_factory=dict
    )
    demand: float = 0
    updated_at: float = 0
    shares: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )


class Allowances:
    """This node's enforcement of the allowances of all teams.

    A request is admitted while the known usage of all nodes plus this node's
    unreported usage, divided by its share, is within the allowance. The shares
    of the nodes follow their demand and add up to 1, so all nodes together
    stay within the allowance.
    """

    def __init__(self, settings: AllowanceSettings, clock: Clock) -> None:
        """Create allowances without teams; every request is admitted.

        Args:
          settings: bounds of the divergence between nodes.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.started_at = self._now()
        self.limits: dict[str, Limits] = {}
        self.nodes = 1
        self.teams: dict[str, _Team] = collections.defaultdict(_Team)

    def configure(self, limits: Mapping[str, Limits], nodes: int) -> None:
        """Set the active allowances and the number of live nodes."""
        self.limits = dict(limits)
        self.nodes = max(1, nodes)

    def try_take(self, team: str, tokens: float) -> Refusal | None:
        """Charge one request to a team if its allowance permits.

        Args:
          team: the team that sends the request.
          tokens: expected tokens of prompt and answer.

        Returns:
          None if the request is charged, else a refusal with status 429.
        """
        limits = self.limits.get(team)
        if limits is None:
            return None
        now = self._now()
        state = self.teams[team]
        self._advance(state, now)
        state.demand += 1 / self.settings.demand_half_life_s
        amount = Amount(1, tokens)
        if self._is_within_allowance(state, limits, amount, now):
            self._charge(state, amount, now)
            return None
        return Refusal(
            429,
            'allowance_used',
            f'team {team!r} has used its allowance per minute',
            RunState.NOT_RUN,
            dt.timedelta(seconds=self._retry_after_s(state, limits, now)),
        )

    def settle(self, team: str, requests: float, tokens: float) -> None:
        """Correct an earlier charge.

        Args:
          team: the team that sent the request.
          requests: -1 for a request that did not run, else 0.
          tokens: used minus expected tokens.
        """
        if team in self.limits:
            amount = Amount(requests, tokens)
            self._charge(self.teams[team], amount, self._now())

    def usage(self) -> dict[str, list[float]]:
        """Return the usage report of this node for its peers.

        For each active team: requests and tokens since the start of the node,
        the same in the last minute, the demand in requests per second, and
        requests and tokens in the last minute that this node knows of all
        nodes.
        """
        now = self._now()
        document: dict[str, list[float]] = {}
        for name, state in self.teams.items():
            self._advance(state, now)
            recent = state.own.sum(now)
            total = recent.plus(state.peer_usage.sum(now))
            if total.requests or recent.requests or state.demand > _MIN_DEMAND:
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
        """Merge the usage report of a peer.

        Usage counts for a minute from its first report, even if the peer stops
        in the meantime.

        Args:
          peer: origin of the report.
          usage: the report.
        """
        now = self._now()
        for name, report in usage.items():
            state = self.teams[name]
            used = Amount(*report[:2])
            # After a start of this node, the time of the usage in the first
            # reports is unknown; the totals of older nodes cover that usage.
            just_started = now - self.started_at < _MINUTE_S
            recent = Amount() if just_started else Amount(*report[2:4])
            known = state.reported.get(peer, used.plus(recent, -1))
            added = used.plus(known, -1)
            if added != Amount():
                state.peer_usage.add(now, added)
            state.reported[peer] = used
            state.demands[peer] = (now, report[4])
            state.totals[peer] = (now, Amount(*report[5:7]))

    def _charge(self, state: _Team, amount: Amount, now: float) -> None:
        state.own.add(now, amount)
        state.used = state.used.plus(amount)

    def _is_within_allowance(
        self, state: _Team, limits: Limits, amount: Amount, now: float
    ) -> bool:
        unreported = state.own.since(now - self.settings.report_lag_s).plus(
            amount
        )
        own = state.own.sum(now)
        known = state.peer_usage.sum(now).plus(own)
        # The totals include the usage of nodes that stopped before this node
        # started.
        oldest = now - self.settings.share_delay_s
        totals = [total for at, total in state.totals.values() if at > oldest]
        known = Amount(
            max([known.requests, *(total.requests for total in totals)]),
            max([known.tokens, *(total.tokens for total in totals)]),
        )
        known = known.plus(unreported, -1).plus(amount)
        share = self._share(state, known.requests / max(1, limits.requests))
        return _is_within_limit(
            limits.requests, known.requests, unreported.requests, share, self
        ) and _is_within_limit(
            limits.tokens, known.tokens, unreported.tokens, share, self
        )

    def _share(self, state: _Team, used_fraction: float) -> float:
        settings = self.settings
        even_fraction = settings.idle_fraction
        if used_fraction < _LOW_USE_FRACTION:
            even_fraction = settings.idle_fraction_low_use
        min_share = min((share for _at, share in state.shares), default=0)
        return even_fraction / self.nodes + (1 - even_fraction) * min_share

    def _advance(self, state: _Team, now: float) -> None:
        elapsed = now - state.updated_at
        if elapsed <= 0:
            return
        state.updated_at = now
        state.demand *= 2 ** (-elapsed / self.settings.demand_half_life_s)
        oldest = now - _MAX_REPORT_AGE_S
        state.demands = {
            peer: report
            for peer, report in state.demands.items()
            if report[0] > oldest
        }
        total = state.demand + sum(
            report[1] for report in state.demands.values()
        )
        share = state.demand / total if total else 1 / self.nodes
        state.totals = {
            peer: report
            for peer, report in state.totals.items()
            if report[0] > oldest
        }
        state.shares.append((now, share))
        while state.shares[0][0] < now - self.settings.share_delay_s:
            state.shares.popleft()

    def _retry_after_s(self, state: _Team, limits: Limits, now: float) -> float:
        known = state.peer_usage.sum(now).plus(state.own.sum(now))
        if known.requests < limits.requests and known.tokens < limits.tokens:
            return self.settings.share_delay_s
        step_starts = [
            window.steps[0][0] / _STEPS_PER_SECOND
            for window in (state.own, state.peer_usage)
            if window.steps
        ]
        return max(1, min(step_starts, default=now) + _MINUTE_S - now)

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()


def _is_within_limit(
    limit: float,
    known: float,
    unreported: float,
    share: float,
    allowances: Allowances,
) -> bool:
    max_unreported = allowances.settings.max_unreported_fraction * limit
    if unreported > max(1, max_unreported):
        return False
    return known + unreported / max(share, _MIN_SHARE) <= limit
