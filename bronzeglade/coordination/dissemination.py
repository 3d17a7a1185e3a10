"""Order in which news is repeated on messages between nodes."""

import math
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

KeyT = TypeVar('KeyT', bound=Hashable)

# Each piece of news is sent this many times log2 of the number of nodes;
# with 3 the chance that a node misses it is below 1 in 1,000, and
# anti-entropy repairs the rest.
REPEAT_FACTOR = 3
# Documents are many and are replaced soon, so each node repeats a version
# only this often; anti-entropy brings it to the few nodes that it missed.
DOCUMENT_REPEATS = 4


def repeat_limit(nodes: int) -> int:
    """Return how often a node repeats a piece of news.

    Args:
      nodes: number of nodes, this one included.
    """
    return REPEAT_FACTOR * math.ceil(math.log2(nodes + 1))


class News(Generic[KeyT]):
    """Keys of what changed, the least repeated first."""

    def __init__(self) -> None:
        """Hold no news."""
        self.counts: OrderedDict[KeyT, int] = OrderedDict()

    def add(self, key: KeyT, count: int = 0) -> None:
        """Put a key first.

        Args:
          key: what changed.
          count: how often it counts as sent.
        """
        self.counts[key] = count
        self.counts.move_to_end(key, last=False)

    def drop(self, key: KeyT) -> None:
        """Forget a key."""
        self.counts.pop(key, None)

    def keys(self) -> Iterator[KeyT]:
        """Iterate over the keys in the order in which they are due."""
        return iter(tuple(self.counts))

    def sent(self, key: KeyT, limit: int) -> None:
        """Count that a key was sent.

        Args:
          key: one of `keys`.
          limit: number of times after which it is no longer news.
        """
        count = self.counts.get(key, limit) + 1
        if count >= limit:
            self.counts.pop(key, None)
            return
        self.counts[key] = count
        self.counts.move_to_end(key)
