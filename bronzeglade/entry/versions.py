"""Assignment of sessions and requests to versions during roll-outs."""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Protocol

from bronzeglade import catalog as catalogs
from bronzeglade.catalog import Catalog
from bronzeglade.coordination.rollout_progress import RolloutView, run_id
from bronzeglade.decisions import evidence as evidences
from bronzeglade.decisions import version_comparison
from bronzeglade.decisions.evidence import Evidence, Observation
from bronzeglade.decisions.version_comparison import Measure
from bronzeglade.entry.peers import Gossip
from bronzeglade.manifest import Rollout, VersionState
from bronzeglade.outcome import Refusal

VERSION_HALTED = Refusal(
    503,
    'version_halted',
    'the only version for this team is halted or suspended in its roll-out',
)


class Confirmation(Protocol):
    """Staleness check of the active configuration, such as `Publication`."""

    def candidates_suspended(self) -> bool:
        """Return whether candidates receive no new sessions or requests."""


class AlwaysConfirmed:
    """Confirmation for nodes without a staleness check."""

    def candidates_suspended(self) -> bool:
        """Return False."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class EligibleVersions:
    """Versions that may receive work.

    Attributes:
      unbound: for new sessions and requests without session.
      bound: for sessions that are already bound to a version.
    """

    unbound: tuple[str, ...]
    bound: tuple[str, ...]


class VersionAssignment:
    """Version assignment of a node, and its evidence for roll-outs."""

    def __init__(
        self, gossip: Gossip, confirmation: Confirmation | None = None
    ) -> None:
        """Create an assignment without roll-outs or evidence.

        Args:
          gossip: exchanges progress and evidence with the peers.
          confirmation: whether candidates are suspended; by default never.
        """
        self.gossip = gossip
        self.confirmation = confirmation or AlwaysConfirmed()
        self.view = RolloutView()
        self.rollouts: dict[str, Rollout] = {}
        self.counters: dict[tuple[str, str], Evidence] = {}

    def track(self, rollouts: Iterable[Rollout]) -> None:
        """Set the active roll-outs and discard the counters of all others.

        Args:
          rollouts: roll-outs of the active configuration.
        """
        self.rollouts = {rollout.model: rollout for rollout in rollouts}
        runs = {run_id(rollout) for rollout in self.rollouts.values()}
        self.counters = {
            key: counted
            for key, counted in self.counters.items()
            if key[0] in runs
        }

    def eligible(
        self, catalog: Catalog, model: str, usable: Sequence[str]
    ) -> EligibleVersions:
        """Return the usable versions that may receive work.

        The candidate is excluded once it is halted. A halt for errors or
        ratings excludes it for bound sessions too. After a halt for latency,
        and while candidates are suspended, bound sessions keep it.

        Args:
          catalog: the active configuration.
          model: name of the model.
          usable: versions that the team may use.
        """
        all_versions = tuple(usable)
        rollout = catalog.rollouts.get(model)
        if rollout is None:
            return EligibleVersions(all_versions, all_versions)
        others = tuple(
            version for version in usable if version != rollout.to_version
        )
        reason = self.view.halt_reason(rollout)
        if reason is None:
            is_withheld = self._is_withheld(catalog, rollout)
            return EligibleVersions(
                others if is_withheld else all_versions, all_versions
            )
        is_latency_only = reason == Measure.LATENCY
        return EligibleVersions(
            others, all_versions if is_latency_only else others
        )

    def _is_withheld(self, catalog: Catalog, rollout: Rollout) -> bool:
        if self.confirmation.candidates_suspended():
            return True
        state = catalogs.version_state(
            catalog, rollout.model, rollout.to_version
        )
        is_not_serving = state is VersionState.ALLOWED
        return is_not_serving and self.view.share(rollout) == 0

    def preferred(
        self, catalog: Catalog, model: str, usable: Sequence[str], unit: str
    ) -> str:
        """Return the version for a new session or request.

        Args:
          catalog: the active configuration.
          model: name of the model.
          usable: versions eligible for new work; not empty.
          unit: session id, or request id of a request without session.
        """
        rollout = catalog.rollouts.get(model)
        if rollout is None:
            return usable[0]
        share = self.view.share(rollout)
        version = version_comparison.assign(unit, rollout, share)
        if version in usable:
            return version
        if rollout.from_version in usable:
            return rollout.from_version
        others = [other for other in usable if other != rollout.to_version]
        return others[0] if others else usable[0]

    def permits(
        self, catalog: Catalog, model: str, version: str, bound: bool
    ) -> bool:
        """Return whether a chosen version may still receive the work.

        Args:
          catalog: the active configuration.
          model: name of the model.
          version: the chosen version.
          bound: whether the request belongs to a session.
        """
        eligible = self.eligible(catalog, model, (version,))
        versions = eligible.bound if bound else eligible.unbound
        return version in versions

    def observe(
        self, model: str, version: str, observation: Observation
    ) -> None:
        """Count an observation of a version that is part of a roll-out."""
        rollout = self.rollouts.get(model)
        if rollout is None:
            return
        if version in {rollout.from_version, rollout.to_version}:
            key = (run_id(rollout), version)
            counted = self.counters.get(key, Evidence())
            self.counters[key] = evidences.count(counted, observation)

    def counters_of(self, rollout: Rollout, version: str) -> Evidence:
        """Return this node's counters for a version of a roll-out."""
        return self.counters.get((run_id(rollout), version), Evidence())
