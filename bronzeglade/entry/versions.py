"""Which version new work of a model gets."""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Protocol

from bronzeglade import catalog as catalogs
from bronzeglade.catalog import Catalog
from bronzeglade.coordination.rollout import RolloutView, run_id
from bronzeglade.decisions import evidence as evidences
from bronzeglade.decisions import rollout as decisions
from bronzeglade.decisions.evidence import Evidence, Observation
from bronzeglade.decisions.rollout import Measure
from bronzeglade.entry.peers import Gossip
from bronzeglade.manifest import Rollout, VersionState
from bronzeglade.outcome import Refusal

HALTED = Refusal(
    503,
    'version_halted',
    'the only version for this team is halted or suspended in its roll-out',
)


class Confirmation(Protocol):
    """Whether the table confirmed the configuration not long ago."""

    def candidates_suspended(self) -> bool:
        """Return whether candidates get no new, unbound work."""


class AlwaysConfirmed:
    """A configuration that needs no confirmation."""

    def candidates_suspended(self) -> bool:
        """Return False."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class Offered:
    """Versions for new work and for sessions that are bound already."""

    unbound: tuple[str, ...]
    bound: tuple[str, ...]


class Versions:
    """Assignment of new sessions and requests to versions."""

    def __init__(
        self, gossip: Gossip, confirmation: Confirmation | None = None
    ) -> None:
        """Create the assignment.

        Args:
          gossip: what other nodes tell.
          confirmation: age of the configuration.
        """
        self.gossip = gossip
        self.confirmation = confirmation or AlwaysConfirmed()
        self.view = RolloutView()
        self.rollouts: dict[str, Rollout] = {}
        self.counters: dict[tuple[str, str], Evidence] = {}

    def track(self, rollouts: Iterable[Rollout]) -> None:
        """Count evidence for these roll-outs only.

        Args:
          rollouts: those of the manifest in force.
        """
        self.rollouts = {rollout.model: rollout for rollout in rollouts}
        runs = {run_id(rollout) for rollout in self.rollouts.values()}
        self.counters = {
            key: counted
            for key, counted in self.counters.items()
            if key[0] in runs
        }

    def offered(
        self, catalog: Catalog, model: str, usable: Sequence[str]
    ) -> Offered:
        """Return the usable versions without those that are halted.

        A halt for errors or ratings withdraws the candidate from bound
        sessions too. After a halt for latency, and while the configuration
        is not confirmed, bound sessions keep it.

        Args:
          catalog: the manifest in force.
          model: which model.
          usable: versions that the team may use now.
        """
        everything = tuple(usable)
        rollout = catalog.rollouts.get(model)
        if rollout is None:
            return Offered(everything, everything)
        others = tuple(one for one in usable if one != rollout.to_version)
        reason = self.view.halt_reason(rollout)
        if reason is None:
            waits = self._waits(catalog, rollout)
            return Offered(others if waits else everything, everything)
        slow_only = reason == Measure.LATENCY
        return Offered(others, everything if slow_only else others)

    def _waits(self, catalog: Catalog, rollout: Rollout) -> bool:
        if self.confirmation.candidates_suspended():
            return True
        state = catalogs.version_state(
            catalog, rollout.model, rollout.to_version
        )
        allowed_only = state is VersionState.ALLOWED
        return allowed_only and self.view.share(rollout) == 0

    def preferred(
        self, catalog: Catalog, model: str, usable: Sequence[str], unit: str
    ) -> str:
        """Return the version for a new session or request.

        Args:
          catalog: the manifest in force.
          model: which model.
          usable: versions that the team may use for new work; not empty.
          unit: identity of the session, or of a request without session.
        """
        rollout = catalog.rollouts.get(model)
        if rollout is None:
            return usable[0]
        share = self.view.share(rollout)
        version = decisions.assign(unit, rollout, share)
        if version in usable:
            return version
        if rollout.from_version in usable:
            return rollout.from_version
        others = [one for one in usable if one != rollout.to_version]
        return others[0] if others else usable[0]

    def permits(
        self, catalog: Catalog, model: str, version: str, bound: bool
    ) -> bool:
        """Return whether a version that was chosen may still get the work.

        Args:
          catalog: the manifest in force.
          model: which model.
          version: the choice.
          bound: whether the request belongs to a session.
        """
        offered = self.offered(catalog, model, (version,))
        left = offered.bound if bound else offered.unbound
        return version in left

    def observe(
        self, model: str, version: str, observation: Observation
    ) -> None:
        """Count an outcome as evidence for or against a version."""
        rollout = self.rollouts.get(model)
        if rollout is None:
            return
        if version in {rollout.from_version, rollout.to_version}:
            key = (run_id(rollout), version)
            counted = self.counters.get(key, Evidence())
            self.counters[key] = evidences.count(counted, observation)

    def counted(self, rollout: Rollout, version: str) -> Evidence:
        """Return this node's counters of a version in a roll-out."""
        return self.counters.get((run_id(rollout), version), Evidence())
