"""Choice of the endpoint: cached prompt parts, load, distance and health.

All nodes rank the endpoints of a prompt the same way (rendezvous hashing), so
requests with the same parts meet at the same endpoint without an exchange
between nodes. Load moves a request to an endpoint that has to read the parts
again when that costs less than waiting.
"""

import dataclasses
import datetime as dt
import random
from collections.abc import Collection, Mapping, Sequence
from typing import Protocol

import xxhash

from bronzeglade.clock import Clock
from bronzeglade.decisions.ejection import Ejections, EjectionSettings
from bronzeglade.decisions.load import Load, LoadEstimates, LoadSettings
from bronzeglade.decisions.outstanding import (
    NOTHING,
    ByEndpoint,
    Outstanding,
    OutstandingReports,
    ReportSettings,
)
from bronzeglade.decisions.prefix import PrefixIndex, PrefixSettings


class Candidate(Protocol):
    """An endpoint that may run the request."""

    @property
    def name(self) -> str:
        """Its identity."""

    @property
    def failure_domain(self) -> str:
        """Where it stands."""

    @property
    def slots(self) -> int:
        """Requests that it runs at the same time."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromptShare:
    """A part of a prompt; `name` is unique for the model that reads it."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedRequest:
    """What the choice depends on.

    `parts` are those that other requests may share, in order, and `tokens`
    the whole prompt. Both are empty for a request without a prompt. `size` is
    the number of bytes that are sent to the endpoint.
    """

    parts: tuple[PromptShare, ...] = ()
    tokens: int = 0
    size: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Costs, all as tokens of prompt that an engine reads in the same time.

    `request_tokens` stands for a request that is already there: its prompt
    may be unread, and it slows every token. `held` is how sure it is that the
    endpoint that ranks first holds the shared parts. Of more than twice
    `sample` endpoints only those that may hold the parts and `sample` others,
    by chance, are compared: all nodes see the same load, which is a little
    old, and would all choose the endpoint that was idle then.
    """

    load: LoadSettings = LoadSettings(
        report_lag=dt.timedelta(milliseconds=10),
        memory=dt.timedelta(seconds=1),
    )
    prefix: PrefixSettings = PrefixSettings()
    ejection: EjectionSettings = EjectionSettings()
    request_tokens: float = 400
    # An endpoint in another failure domain: the way there, and each byte. The
    # operators pay for a byte between domains between a tenth of what they pay
    # for a token that is read again (Brolga) and 1.2 times that (Manizales).
    distant_tokens: float = 400
    distant_byte_tokens: float = 0.5
    held: float = 0.8
    sample: int = 4
    reports: ReportSettings = ReportSettings()
    # Costs of a request without a prompt, in requests.
    distant_requests: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The chosen endpoint and the figures behind the choice."""

    name: str
    cost: float
    cached_tokens: int
    load: float


class Placement:
    """What one node knows of the endpoints, and its choice among them."""

    def __init__(
        self,
        settings: PlacementSettings,
        failure_domain: str,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Know no endpoint.

        Args:
          settings: costs.
          failure_domain: where this node stands.
          clock: monotonic time.
          source: random numbers for ties and probes.
        """
        self.settings = settings
        self.failure_domain = failure_domain
        self.clock = clock
        self.source = source
        self.loads = LoadEstimates(settings.load, clock)
        self.prefixes = PrefixIndex(settings.prefix, clock)
        self.ejections = Ejections(settings.ejection, clock, source)
        self.unread: dict[str, int] = {}
        # What the other nodes have on the endpoints.
        self.others = OutstandingReports(settings.reports, clock)

    def outstanding(self) -> dict[str, Outstanding]:
        """Return what the requests of this node put on the endpoints."""
        return {
            name: Outstanding(count, self.unread.get(name, 0))
            for name, count in self.loads.own.items()
            if count > 0
        }

    def choose(
        self,
        candidates: Sequence[Candidate],
        request: PlacedRequest,
        exclude: Collection[str] = (),
    ) -> Place | None:
        """Choose an endpoint.

        Args:
          candidates: those that may run the request.
          request: its prompt.
          exclude: names that were tried before.

        Returns:
          The place; None when all were tried or none is there. When all are
          ejected, the best of them is chosen nevertheless.
        """
        left = [one for one in candidates if one.name not in exclude]
        usable = [one for one in left if self.ejections.is_usable(one.name)]
        offered = usable or left
        if not offered:
            return None
        if request.tokens:
            places = self._prompt_places(offered, request)
        else:
            places = [self._plain_place(one) for one in offered]
        return min(places, key=lambda one: (one.cost, self.source.random()))

    def started(self, name: str, request: PlacedRequest, unread: int) -> None:
        """Count a request that is sent to an endpoint.

        Args:
          name: the endpoint.
          request: what is sent.
          unread: tokens that the endpoint has to read.
        """
        self.loads.started(name)
        self.ejections.started(name)
        self.unread[name] = self.unread.get(name, 0) + unread
        self.prefixes.record(name, [part.name for part in request.parts])

    def read(self, name: str, unread: int) -> None:
        """Take note that an endpoint has read a prompt or given it up."""
        self.unread[name] = max(0, self.unread.get(name, 0) - unread)

    def finished(self, name: str) -> None:
        """Count the end of a request on an endpoint."""
        self.loads.finished(name)
        self.ejections.finished(name)

    def report(self, name: str, load: Load) -> None:
        """Take the load that an endpoint has told."""
        self.loads.report(name, load)

    def forget(self, name: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self.loads.forget(name)
        self.loads.own.pop(name, None)
        self.prefixes.forget(name)
        self.ejections.forget(name)
        self.unread.pop(name, None)

    def _load(self, name: str, others: ByEndpoint | None) -> float:
        """Return the requests on an endpoint, as told by nodes or by it."""
        if others is None:
            return self.loads.estimate(name).mean
        return self.loads.own[name] + others.get(name, NOTHING).requests

    def _plain_place(self, candidate: Candidate) -> Place:
        # What other nodes report is older than a plain request lasts.
        load = self.loads.estimate(candidate.name).mean
        distant = candidate.failure_domain != self.failure_domain
        cost = load + distant * self.settings.distant_requests
        return Place(candidate.name, cost / candidate.slots, 0, load)

    def _prompt_places(
        self, offered: Sequence[Candidate], request: PlacedRequest
    ) -> list[Place]:
        names = [part.name for part in request.parts]
        matches = self.prefixes.matches(names)
        first = _first_ranked(offered, names)
        others = self.others.total()
        return [
            self._prompt_place(one, request, matches, one.name == first, others)
            for one in self._sample(offered, matches, first)
        ]

    def _sample(
        self,
        offered: Sequence[Candidate],
        matches: Mapping[str, int],
        first: str | None,
    ) -> Sequence[Candidate]:
        if len(offered) <= self.settings.sample * 2:
            return offered
        most = max(matches.values(), default=0)
        holders = {name for name, count in matches.items() if count == most}
        chosen = self.source.sample(range(len(offered)), self.settings.sample)
        return [
            one
            for place, one in enumerate(offered)
            if place in chosen or one.name == first or one.name in holders
        ]

    def _prompt_place(
        self,
        candidate: Candidate,
        request: PlacedRequest,
        matches: Mapping[str, int],
        ranks_first: bool,
        others: ByEndpoint | None,
    ) -> Place:
        settings = self.settings
        name = candidate.name
        count = matches.get(name, 0)
        cached = sum(part.tokens for part in request.parts[:count])
        if ranks_first:
            shared = sum(part.tokens for part in request.parts)
            cached = max(cached, int(shared * settings.held))
        load = self._load(name, others)
        unread = self.unread.get(name, 0)
        if others is not None:
            unread += others.get(name, NOTHING).unread_tokens
        distant = candidate.failure_domain != self.failure_domain
        cost = (
            max(0, request.tokens - cached)
            + unread
            + load * settings.request_tokens
            + distant * self._distance(request)
        )
        return Place(name, cost, cached, load)

    def _distance(self, request: PlacedRequest) -> float:
        settings = self.settings
        sent = settings.distant_byte_tokens * request.size
        return settings.distant_tokens + sent


def _first_ranked(
    offered: Sequence[Candidate], names: Sequence[str]
) -> str | None:
    if not names:
        return None
    key = names[-1]
    return max(
        offered,
        key=lambda one: xxhash.xxh3_64_intdigest(f'{key} {one.name}'.encode()),
    ).name
