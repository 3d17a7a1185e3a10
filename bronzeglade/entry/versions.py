"""Which version new work of a model gets."""

from collections.abc import Sequence

from bronzeglade.catalog import Catalog
from bronzeglade.entry.peers import Gossip


class Versions:
    """Assignment of new sessions and requests to versions."""

    def __init__(self, gossip: Gossip) -> None:
        """Create the assignment.

        Args:
          gossip: what other nodes tell.
        """
        self.gossip = gossip

    def preferred(
        self, catalog: Catalog, model: str, usable: Sequence[str], unit: str
    ) -> str:
        """Return the version for a new session or request.

        Args:
          catalog: the manifest in force.
          model: which model.
          usable: versions that the team may use now; not empty.
          unit: identity of the session, or of a request without session.
        """
        return usable[0]

    def observe(self, model: str, version: str, outcome: 'Observation') -> None:
        """Count an outcome as evidence for or against a version."""


class Observation:
    """Outcome of one request: error, latency, rating."""
