"""Versions that new work and bound sessions may receive."""

from bronzeglade import builders
from bronzeglade.coordination.rollout_progress import (
    RolloutProgress,
    RolloutState,
    run_id,
)
from bronzeglade.decisions.evidence import FAILED, Observation
from bronzeglade.entry.peers import Gossip
from bronzeglade.entry.versions import VersionAssignment

ROLLOUT = builders.rollout()
CATALOG = builders.catalog(ROLLOUT)
BOTH = ('v1', 'v2')


class Confirmation:
    """Confirmation set by the test."""

    suspended = False

    def candidates_suspended(self) -> bool:
        return self.suspended


def running(confirmation: Confirmation | None = None) -> VersionAssignment:
    """Return an assignment whose roll-out is at its last step."""
    versions = VersionAssignment(
        Gossip('node', builders.ManualClock()), confirmation
    )
    progress = RolloutProgress(
        run_id(ROLLOUT), 2, 1, RolloutState.RUNNING, 1, 3
    )
    versions.view.update(ROLLOUT.name, progress)
    versions.track([ROLLOUT])
    return versions


def test_candidate_receives_no_work_while_the_step_is_unknown() -> None:
    """The candidate may be halted without the node having received it."""
    versions = VersionAssignment(Gossip('node', builders.ManualClock()))
    assert versions.eligible(CATALOG, 'm', BOTH).unbound == ('v1',)
    assert versions.preferred(CATALOG, 'm', BOTH, 'unit') == 'v1'
    assert not versions.permits(CATALOG, 'm', 'v2', bound=False)


def test_control_version_keeps_a_share_at_the_last_step() -> None:
    """Without a control, a fault elsewhere would halt a good candidate."""
    versions = running()
    units = [str(number) for number in range(2000)]
    assigned = [versions.preferred(CATALOG, 'm', BOTH, unit) for unit in units]
    assert 50 < assigned.count('v1') < 200


def test_halt_for_ratings_excludes_the_candidate_for_sessions_too() -> None:
    """A session must not stay on a version that answers badly."""
    versions = running()
    versions.view.halt(run_id(ROLLOUT), 'rating')
    eligible = versions.eligible(CATALOG, 'm', BOTH)
    assert (eligible.unbound, eligible.bound) == (('v1',), ('v1',))
    assert versions.eligible(CATALOG, 'm', ('v2',)).unbound == ()
    assert not versions.permits(CATALOG, 'm', 'v2', bound=True)


def test_slow_candidate_keeps_its_sessions() -> None:
    """A session keeps its version when only the latency is worse."""
    versions = running()
    versions.view.halt(run_id(ROLLOUT), 'latency')
    eligible = versions.eligible(CATALOG, 'm', BOTH)
    assert (eligible.unbound, eligible.bound) == (('v1',), BOTH)
    assert versions.permits(CATALOG, 'm', 'v2', bound=True)


def test_unconfirmed_configuration_suspends_the_candidate() -> None:
    """A node in a partition may not have received a halt or withdrawal."""
    confirmation = Confirmation()
    versions = running(confirmation)
    assert versions.permits(CATALOG, 'm', 'v2', bound=False)
    confirmation.suspended = True
    assert not versions.permits(CATALOG, 'm', 'v2', bound=False)
    assert versions.permits(CATALOG, 'm', 'v2', bound=True)


def test_evidence_is_kept_for_published_rollouts_only() -> None:
    """The counters of all versions ever used must not be kept."""
    versions = running()
    versions.observe('m', 'v2', FAILED)
    versions.observe('m', 'v3', FAILED)
    versions.observe('other', 'v2', FAILED)
    versions.observe('m', 'v2', Observation(rating=0.5, counts=False))
    counted = versions.counters_of(ROLLOUT, 'v2')
    assert (counted.errors.count, counted.errors.total) == (1, 1)
    assert counted.ratings.count == 1
    assert len(versions.counters) == 1
    versions.track([])
    assert not versions.counters
