"""Names of a node."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """The VM of a node, its process and its failure domain.

    `origin` is unique to the process: it changes with each restart.
    """

    vm: str
    origin: str
    failure_domain: str
