"""Charges of requests to their teams' allowances, and usage gossip."""

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
from bronzeglade.entry.chat_request import ChatRequest
from bronzeglade.entry.peers import Gossip
from bronzeglade.outcome import Refusal

TOPIC = 'usage'
EXCHANGE_INTERVAL_S = 0.5
CHARACTERS_PER_TOKEN = 4  # estimate for prompts until the engine reports usage
INITIAL_MEAN_TOKENS = 64  # for a team without answers
MEAN_WEIGHT = 0.05  # of the last answer in the moving average


@dataclasses.dataclass(slots=True)
class Charge:
    """Expected usage of a request, charged until it is settled."""

    team: str
    tokens: float


class NodeAllowances:
    """Allowances as enforced by this node."""

    def __init__(self, gossip: Gossip, clock: Clock) -> None:
        """Create allowances without teams; every request is admitted.

        Args:
          gossip: carries the usage reports of all nodes.
          clock: monotonic time.
        """
        self.gossip = gossip
        self.allowances = Allowances(AllowanceSettings(), clock)
        self.mean_tokens: dict[str, float] = {}
        self.merged_reports: dict[str, Any] = {}

    def configure(self, catalog: Catalog, nodes: int) -> None:
        """Set the active allowances.

        Args:
          catalog: the active configuration.
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

    def try_charge(self, team: str, chat: ChatRequest) -> Charge | Refusal:
        """Charge the expected usage of a request if the allowance permits.

        Args:
          team: team of the caller.
          chat: the request.

        Returns:
          The charge, or a refusal with status 429; the request has not run.
        """
        mean = self.mean_tokens.get(team, INITIAL_MEAN_TOKENS)
        limit = chat.max_completion_tokens or chat.max_tokens or mean
        prompt = sum(
            len(message.content or '') / CHARACTERS_PER_TOKEN
            for message in chat.messages
        )
        charge = Charge(team, prompt + min(limit, mean))
        refusal = self.allowances.try_take(team, charge.tokens)
        return charge if refusal is None else refusal

    def refund(self, charge: Charge) -> None:
        """Cancel the charge of a request that did not run."""
        self.allowances.settle(charge.team, -1, -charge.tokens)

    def settle(self, charge: Charge, usage: Usage) -> None:
        """Correct a charge from expected to actual usage."""
        used = usage.prompt_tokens + usage.completion_tokens
        self.allowances.settle(charge.team, 0, used - charge.tokens)
        charge.tokens = 0  # a further answer to the request is charged on top
        mean = self.mean_tokens.get(charge.team, INITIAL_MEAN_TOKENS)
        difference = usage.completion_tokens - mean
        self.mean_tokens[charge.team] = mean + MEAN_WEIGHT * difference

    def exchange(self) -> None:
        """Publish this node's usage and merge the peers' new reports."""
        self.gossip.publish(TOPIC, self.allowances.usage())
        documents: Mapping[str, Any] = self.gossip.read(TOPIC)
        changed = {
            origin: document
            for origin, document in documents.items()
            if origin != self.gossip.origin
            and self.merged_reports.get(origin) != document
        }
        self.merged_reports = dict(documents)
        for origin, document in changed.items():
            self.allowances.merge(origin, document)
