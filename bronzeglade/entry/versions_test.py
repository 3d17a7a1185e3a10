"""Guards which versions new work and bound sessions may get."""

from bronzeglade import builders
from bronzeglade.coordination.rollout import Progress, RolloutState, run_id
from bronzeglade.decisions.evidence import FAILED, Observation
from bronzeglade.entry.peers import Gossip
from bronzeglade.entry.versions import Versions

ROLLOUT = builders.rollout()
CATALOG = builders.catalog(ROLLOUT)
BOTH = ('v1', 'v2')


class Confirmation:
    """Confirmation of the configuration that a test sets."""

    suspended = False

    def candidates_suspended(self) -> bool:
        return self.suspended


def running(confirmation: Confirmation | None = None) -> Versions:
    """Return versions whose roll-out is at its last step."""
    versions = Versions(Gossip('node', builders.ManualClock()), confirmation)
    progress = Progress(run_id(ROLLOUT), 2, 1, RolloutState.RUNNING, 1, 3)
    versions.view.update(ROLLOUT.name, progress)
    versions.track([ROLLOUT])
    return versions


def test_unknown_step_gives_the_candidate_nothing() -> None:
    """A node that starts in an outage knows no step and maybe no halt."""
    versions = Versions(Gossip('node', builders.ManualClock()))
    assert versions.offered(CATALOG, 'm', BOTH).unbound == ('v1',)
    assert versions.preferred(CATALOG, 'm', BOTH, 'unit') == 'v1'
    assert not versions.permits(CATALOG, 'm', 'v2', bound=False)


def test_share_decides_and_control_share_stays() -> None:
    """Without a control a fault of the platform halts a good candidate."""
    versions = running()
    units = [str(number) for number in range(2000)]
    given = [versions.preferred(CATALOG, 'm', BOTH, unit) for unit in units]
    assert 50 < given.count('v1') < 200


def test_halt_withdraws_a_bad_candidate_from_sessions_too() -> None:
    """A session must not stay on a version that gives wrong answers."""
    versions = running()
    versions.view.halt(run_id(ROLLOUT), 'rating')
    offered = versions.offered(CATALOG, 'm', BOTH)
    assert (offered.unbound, offered.bound) == (('v1',), ('v1',))
    assert versions.offered(CATALOG, 'm', ('v2',)).unbound == ()
    assert not versions.permits(CATALOG, 'm', 'v2', bound=True)


def test_slow_candidate_keeps_its_sessions() -> None:
    """A session keeps its version when only the latency is worse."""
    versions = running()
    versions.view.halt(run_id(ROLLOUT), 'latency')
    offered = versions.offered(CATALOG, 'm', BOTH)
    assert (offered.unbound, offered.bound) == (('v1',), BOTH)
    assert versions.permits(CATALOG, 'm', 'v2', bound=True)


def test_unconfirmed_configuration_suspends_the_candidate() -> None:
    """A halt or withdrawal may be unknown inside a partition."""
    confirmation = Confirmation()
    versions = running(confirmation)
    assert versions.permits(CATALOG, 'm', 'v2', bound=False)
    confirmation.suspended = True
    assert not versions.permits(CATALOG, 'm', 'v2', bound=False)
    assert versions.permits(CATALOG, 'm', 'v2', bound=True)


def test_evidence_is_kept_for_published_rollouts_only() -> None:
    """Counters of all versions ever used would grow without bound."""
    versions = running()
    versions.observe('m', 'v2', FAILED)
    versions.observe('m', 'v3', FAILED)
    versions.observe('other', 'v2', FAILED)
    versions.observe('m', 'v2', Observation(rating=0.5, counts=False))
    counted = versions.counted(ROLLOUT, 'v2')
    assert (counted.errors.count, counted.errors.total) == (1, 1)
    assert counted.ratings.count == 1
    assert len(versions.counters) == 1
    versions.track([])
    assert not versions.counters
