"""Endpoint selection by cached prompt, load, failure domain and health.

Every node ranks the endpoints for a prompt with the same rendezvous hash, so
requests that share prompt segments reach the same endpoint without any
coordination between nodes. If that endpoint is busy, a request goes to another
one that has to read the segments again, when reading costs less than waiting.
"""

import dataclasses
import datetime as dt
import random
from collections.abc import Collection, Mapping, Sequence
from types import MappingProxyType
from typing import Protocol

import xxhash

from bronzeglade.clock import Clock
from bronzeglade.decisions.ejection import Ejections, EjectionSettings
from bronzeglade.decisions.load import Load, LoadEstimates, LoadSettings
from bronzeglade.decisions.outstanding import (
    NO_WORK,
    Outstanding,
    OutstandingReports,
    OutstandingReportSettings,
    WorkByEndpoint,
)
from bronzeglade.decisions.prefix import PrefixIndex, PrefixSettings


_NONE_COLD: Mapping[str, float] = MappingProxyType({})


class Candidate(Protocol):
    """An endpoint that is able to run the request."""

    @property
    def name(self) -> str:
        """Unique name of the endpoint."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of its VM."""

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class SharedSegment:
    """A prompt segment that several requests may share.

    `name` identifies the segment and the model that reads it.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedRequest:
    """The properties of a request that the choice depends on.

    Attributes:
      segments: the prompt segments that other requests may share, in order.
      tokens: length of the whole prompt; 0 for a request without a prompt.
      size: bytes that are sent to the endpoint.
    """

    segments: tuple[SharedSegment, ...] = ()
    tokens: int = 0
    size: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Costs, in prompt tokens that an engine reads in the same time.

    Attributes:
      tokens_per_request: cost of each request already at the endpoint. Its
        prompt may be unread, and it slows down every other request.
      first_cached_fraction: fraction of the shared segments that the endpoint
        with the highest hash rank is assumed to have cached.
      sample_size: with more than twice as many endpoints, only this many
        random ones are compared, besides the first-ranked one and those with
        the longest cached prefix. All nodes see the same slightly outdated
        load and would otherwise all choose the endpoint that was idle then.
    """

    load: LoadSettings = LoadSettings(
        report_lag=dt.timedelta(milliseconds=10),
        decay_time=dt.timedelta(seconds=1),
    )
    prefix: PrefixSettings = PrefixSettings()
    ejection: EjectionSettings = EjectionSettings()
    tokens_per_request: float = 400
    # Costs of an endpoint in another failure domain: latency, and traffic per
    # byte. The traffic cost of a byte between domains is 0.1 (deployment
    # Brolga) to 1.2 (deployment Manizales) times the cost of reading a token
    # again.
    cross_domain_tokens: float = 400
    cross_domain_byte_tokens: float = 0.5
    first_cached_fraction: float = 0.8
    sample_size: int = 4
    reports: OutstandingReportSettings = OutstandingReportSettings()
    # Cost of an endpoint in another failure domain for a request without a
    # prompt, in outstanding requests.
    cross_domain_requests: float = 0.5
    # How much longer work takes at an endpoint that has just started, relative
    # to a warm one. It falls in proportion to the remaining cold time.
    cold_slowdown: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChoice:
    """The chosen endpoint and the estimates behind the choice.

    `load` is the estimated number of requests at the endpoint.
    """

    name: str
    cost: float
    cached_tokens: int
    load: float


class Placement:
    """Endpoint state known to one node, and its choice of endpoints."""

    def __init__(
        self,
        settings: PlacementSettings,
        failure_domain: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a placement without endpoint state.

        Args:
          settings: costs and limits.
          failure_domain: that of this node.
          clock: monotonic time.
          rng: random generator for ties, samples and probes.
        """
        self.settings = settings
        self.failure_domain = failure_domain
        self.clock = clock
        self.rng = rng
        self.loads = LoadEstimates(settings.load, clock)
        self.prefixes = PrefixIndex(settings.prefix, clock)
        self.ejections = Ejections(settings.ejection, clock, rng)
        self.unread: dict[str, int] = {}
        # Outstanding work of the other nodes.
        self.peer_load = OutstandingReports(settings.reports, clock)

    def outstanding(self) -> dict[str, Outstanding]:
        """Return the outstanding work of this node, by endpoint."""
        return {
            name: Outstanding(count, self.unread.get(name, 0))
            for name, count in self.loads.own_requests.items()
            if count > 0
        }

    def choose(
        self,
        candidates: Sequence[Candidate],
        request: PlacedRequest,
        exclude: Collection[str] = (),
        cold: Mapping[str, float] = _NONE_COLD,
    ) -> EndpointChoice | None:
        """Choose an endpoint.

        Args:
          candidates: endpoints that are able to run the request.
          request: prompt and size.
          exclude: names of endpoints with an earlier attempt.
          cold: fraction of its cold time that each cold endpoint has left.

        Returns:
          The choice, or None when all candidates are excluded. If all other
          candidates are ejected, the best of them is chosen nevertheless.
        """
        remaining = [
            candidate
            for candidate in candidates
            if candidate.name not in exclude
        ]
        usable = [
            candidate
            for candidate in remaining
            if self.ejections.is_usable(candidate.name)
        ]
        eligible = usable or remaining
        if not eligible:
            return None
        if request.tokens:
            choices = self._prompt_choices(eligible, request)
        else:
            choices = [
                self._promptless_choice(candidate) for candidate in eligible
            ]
        if cold:
            choices = [self._slowed(choice, cold) for choice in choices]
        return min(choices, key=lambda choice: (choice.cost, self.rng.random()))

    def started(self, name: str, request: PlacedRequest, unread: int) -> None:
        """Record the start of an attempt.

        Args:
          name: the endpoint.
          request: the request that is sent.
          unread: prompt tokens that the endpoint is expected to read.
        """
        self.loads.started(name)
        self.ejections.started(name)
        self.unread[name] = self.unread.get(name, 0) + unread
        self.prefixes.record(
            name, [segment.name for segment in request.segments]
        )

    def record_prompt_read(self, name: str, unread: int) -> None:
        """Subtract prompt tokens that an endpoint has read or dropped."""
        self.unread[name] = max(0, self.unread.get(name, 0) - unread)

    def finished(self, name: str) -> None:
        """Record the end of an attempt."""
        self.loads.finished(name)
        self.ejections.finished(name)

    def report(self, name: str, load: Load) -> None:
        """Update the load of an endpoint from its own report."""
        self.loads.report(name, load)

    def forget(self, name: str) -> None:
        """Discard the state of an endpoint that was removed."""
        self.loads.forget(name)
        self.loads.own_requests.pop(name, None)
        self.prefixes.forget(name)
        self.ejections.forget(name)
        self.unread.pop(name, None)

    def _load(self, name: str, peer_load: WorkByEndpoint | None) -> float:
        """Return the requests at an endpoint, as reported by peers or by it."""
        if peer_load is None:
            return self.loads.estimate(name).mean
        return (
            self.loads.own_requests[name]
            + peer_load.get(name, NO_WORK).requests
        )

    def _slowed(
        self, choice: EndpointChoice, cold: Mapping[str, float]
    ) -> EndpointChoice:
        fraction = cold.get(choice.name, 0)
        factor = 1 + self.settings.cold_slowdown * fraction
        return dataclasses.replace(choice, cost=choice.cost * factor)

    def _promptless_choice(self, candidate: Candidate) -> EndpointChoice:
        # Peer reports are ignored: a request without a prompt ends before they
        # arrive.
        load = self.loads.estimate(candidate.name).mean
        is_cross_domain = candidate.failure_domain != self.failure_domain
        cost = load + is_cross_domain * self.settings.cross_domain_requests
        return EndpointChoice(candidate.name, cost / candidate.slots, 0, load)

    def _prompt_choices(
        self, eligible: Sequence[Candidate], request: PlacedRequest
    ) -> list[EndpointChoice]:
        names = [segment.name for segment in request.segments]
        matches = self.prefixes.matches(names)
        first = _first_ranked(eligible, names)
        peer_load = self.peer_load.total()
        return [
            self._prompt_choice(
                candidate, request, matches, candidate.name == first, peer_load
            )
            for candidate in self._sample(eligible, matches, first)
        ]

    def _sample(
        self,
        eligible: Sequence[Candidate],
        matches: Mapping[str, int],
        first: str | None,
    ) -> Sequence[Candidate]:
        if len(eligible) <= self.settings.sample_size * 2:
            return eligible
        longest_match = max(matches.values(), default=0)
        holders = {
            name for name, count in matches.items() if count == longest_match
        }
        sampled = self.rng.sample(
            range(len(eligible)), self.settings.sample_size
        )
        return [
            candidate
            for index, candidate in enumerate(eligible)
            if index in sampled
            or candidate.name == first
            or candidate.name in holders
        ]

    def _prompt_choice(
        self,
        candidate: Candidate,
        request: PlacedRequest,
        matches: Mapping[str, int],
        ranks_first: bool,
        peer_load: WorkByEndpoint | None,
    ) -> EndpointChoice:
        settings = self.settings
        name = candidate.name
        count = matches.get(name, 0)
        cached = sum(segment.tokens for segment in request.segments[:count])
        if ranks_first:
            shared = sum(segment.tokens for segment in request.segments)
            cached = max(cached, int(shared * settings.first_cached_fraction))
        load = self._load(name, peer_load)
        unread = self.unread.get(name, 0)
        if peer_load is not None:
            unread += peer_load.get(name, NO_WORK).unread_tokens
        is_cross_domain = candidate.failure_domain != self.failure_domain
        cost = (
            max(0, request.tokens - cached)
            + unread
            + load * settings.tokens_per_request
            + is_cross_domain * self._cross_domain_cost(request)
        )
        return EndpointChoice(name, cost, cached, load)

    def _cross_domain_cost(self, request: PlacedRequest) -> float:
        settings = self.settings
        byte_tokens = settings.cross_domain_byte_tokens * request.size
        return settings.cross_domain_tokens + byte_tokens


def _first_ranked(
    eligible: Sequence[Candidate], names: Sequence[str]
) -> str | None:
    if not names:
        return None
    # Rendezvous hashing: all nodes select the same endpoint for a prompt.
    key = names[-1]
    return max(
        eligible,
        key=lambda candidate: xxhash.xxh3_64_intdigest(
            f'{key} {candidate.name}'.encode()
        ),
    ).name
