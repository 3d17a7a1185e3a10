"""Allowances at the node: what a request is expected to use, and gossip."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from bronzeglade.catalog import Catalog
from bronzeglade.clock import Clock
from bronzeglade.coordination.bill import Usage
from bronzeglade.decisions.allowance import (
    Allowances,
    AllowanceSettings,
    Limits,
)
from bronzeglade.entry.completion import ChatRequest
from bronzeglade.entry.peers import Gossip
from bronzeglade.outcome import Refusal

TOPIC = 'usage'
INTERVAL_S = 0.5
CHARACTERS_A_TOKEN = 4  # of a prompt, until the engine reports its tokens
FIRST_MEAN = 64  # generated tokens of a team that has no answers yet
WEIGHT = 0.05  # of the last answer in the mean


@dataclasses.dataclass(slots=True)
class Taken:
    """What was taken for a request and is not settled yet."""

    team: str
    tokens: float


class NodeAllowances:
    """Takes from allowances and tells other nodes."""

    def __init__(self, gossip: Gossip, clock: Clock) -> None:
        """Know no teams.

        Args:
          gossip: carries the use of all nodes.
          clock: monotonic time.
        """
        self.gossip = gossip
        self.allowances = Allowances(AllowanceSettings(), clock)
        self.means: dict[str, float] = {}
        self.merged: dict[str, Any] = {}

    def configure(self, catalog: Catalog, nodes: int) -> None:
        """Take the allowances in force.

        Args:
          catalog: the manifest in force.
          nodes: number of live nodes.
        """
        limits = {
            team.name: Limits(
                team.allowance.requests_per_minute,
                team.allowance.tokens_per_minute,
            )
            for team in catalog.manifest.teams
        }
        self.allowances.configure(limits, nodes)

    def take(self, team: str, chat: ChatRequest) -> Taken | Refusal:
        """Take what a request is expected to use.

        Args:
          team: who asks.
          chat: the request.

        Returns:
          What was taken, or a refusal with status 429; nothing has run.
        """
        mean = self.means.get(team, FIRST_MEAN)
        limit = chat.max_completion_tokens or chat.max_tokens or mean
        prompt = sum(
            len(one.content or '') / CHARACTERS_A_TOKEN for one in chat.messages
        )
        taken = Taken(team, prompt + min(limit, mean))
        refusal = self.allowances.try_take(team, taken.tokens)
        return taken if refusal is None else refusal

    def give_back(self, taken: Taken) -> None:
        """Return what was taken for a request that did not run."""
        self.allowances.settle(taken.team, -1, -taken.tokens)

    def settle(self, taken: Taken, usage: Usage) -> None:
        """Replace what was expected by what was used."""
        used = usage.prompt_tokens + usage.completion_tokens
        self.allowances.settle(taken.team, 0, used - taken.tokens)
        taken.tokens = 0  # a further answer to the same request adds to it
        mean = self.means.get(taken.team, FIRST_MEAN)
        step = usage.completion_tokens - mean
        self.means[taken.team] = mean + WEIGHT * step

    def exchange(self) -> None:
        """Tell the use of this node and take that of the others."""
        self.gossip.publish(TOPIC, self.allowances.usage())
        documents: Mapping[str, Any] = self.gossip.read(TOPIC)
        fresh = {
            origin: document
            for origin, document in documents.items()
            if origin != self.gossip.origin
            and self.merged.get(origin) != document
        }
        self.merged = dict(documents)
        for origin, document in fresh.items():
            self.allowances.merge(origin, document)
