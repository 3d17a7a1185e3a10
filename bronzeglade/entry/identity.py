"""The identity of a node."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """The VM, the process and the failure domain of a node.

    `origin` identifies the process: it changes with each restart.
    """

    vm: str
    origin: str
    failure_domain: str
