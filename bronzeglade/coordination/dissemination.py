"""Order in which updates are repeated in messages between nodes."""

import math
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

KeyT = TypeVar('KeyT', bound=Hashable)

# A node sends each update this many times log2 of the number of nodes. With 3,
# the probability that a node misses an update is below 1 in 1,000;
# anti-entropy delivers those.
SEND_LIMIT_FACTOR = 3
# Number of times that a node sends each version of a document: fewer than for
# members, since documents are many and soon replaced. Anti-entropy delivers
# them to the few nodes that are missed.
DOCUMENT_SEND_LIMIT = 4


def send_limit(nodes: int) -> int:
    """Return how many times a node sends an update.

    Args:
      nodes: number of nodes, this one included.
    """
    return SEND_LIMIT_FACTOR * math.ceil(math.log2(nodes + 1))


class UpdateQueue(Generic[KeyT]):
    """Keys of changed items, those sent least often first."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.send_counts: OrderedDict[KeyT, int] = OrderedDict()

    def add(self, key: KeyT, count: int = 0) -> None:
        """Put a key at the front of the queue.

        Args:
          key: of the changed item.
          count: number of times that it counts as sent already.
        """
        self.send_counts[key] = count
        self.send_counts.move_to_end(key, last=False)

    def discard(self, key: KeyT) -> None:
        """Remove a key, if it is queued."""
        self.send_counts.pop(key, None)

    def keys(self) -> Iterator[KeyT]:
        """Iterate over a copy of the keys in the order of sending."""
        return iter(tuple(self.send_counts))

    def mark_sent(self, key: KeyT, limit: int) -> None:
        """Count one sending of a key and move it to the end.

        Args:
          key: one of `keys`.
          limit: number of sendings after which the key is removed.
        """
        count = self.send_counts.get(key, limit) + 1
        if count >= limit:
            self.send_counts.pop(key, None)
            return
        self.send_counts[key] = count
        self.send_counts.move_to_end(key)
