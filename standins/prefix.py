"""LRU prefix cache of an engine, in fixed-size token blocks."""

import collections
import random
import time
from collections.abc import Mapping, Sequence
from typing import Any

import xxhash

from standins.answers import Messages

MAX_EVENTS = 4096


def prompt_tokens(messages: Messages) -> list[str]:
    """Return the tokens of a prompt: role and words of each message."""
    tokens: list[str] = []
    for message in messages:
        tokens.append(str(message.get('role')))
        tokens.extend(str(message.get('content') or '').split())
    return tokens


def block_hashes(tokens: Sequence[str], size: int) -> list[str]:
    """Return the chained hash of each complete block of a prompt.

    The hash of a block is XXH64 over the hexadecimal hash of the previous block
    followed by the tokens of the block, joined by spaces.

    Args:
      tokens: tokens of the prompt.
      size: tokens per block.
    """
    hashes: list[str] = []
    parent_hash = ''
    for start in range(0, len(tokens) - size + 1, size):
        content = ' '.join(tokens[start : start + size])
        text = f'{parent_hash}{content}'.encode()
        parent_hash = xxhash.xxh64_hexdigest(text)
        hashes.append(parent_hash)
    return hashes


class PrefixCache:
    """Cached blocks and the log of events that report their changes."""

    def __init__(self, capacity: int, rng: random.Random) -> None:
        """Create an empty cache.

        Args:
          capacity: maximum number of cached blocks.
          rng: random generator that selects the events to lose.
        """
        self.capacity = capacity
        self.rng = rng
        self.blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self.sequence = 0

    def match_prefix(self, hashes: Sequence[str]) -> int:
        """Return the number of leading blocks that are cached.

        Marks these blocks as recently used.
        """
        count = 0
        for block in hashes:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            count += 1
        return count

    def add(self, hashes: Sequence[str], loss_rate: float = 0) -> None:
        """Add blocks and evict the least recently used ones above capacity.

        Args:
          hashes: blocks to add.
          loss_rate: fraction of the events that is never delivered.
        """
        for block in hashes:
            if block not in self.blocks:
                self._record_event('added', block, loss_rate)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            oldest, _none = self.blocks.popitem(last=False)
            self._record_event('removed', oldest, loss_rate)

    def events_since(self, sequence: int, lag_s: float) -> Mapping[str, Any]:
        """Return the events after a sequence number, for `/cache/events`.

        Args:
          sequence: number of the last event that the reader has.
          lag_s: minimum age of the delivered events, in seconds.
        """
        cutoff = time.monotonic() - lag_s
        due = [
            event
            for event in self.events
            if event['seq'] > sequence and event['at'] <= cutoff
        ]
        events = [
            {key: event[key] for key in ('seq', 'action', 'hash')}
            for event in due
            if not event['lost']
        ]
        return {'events': events, 'next': due[-1]['seq'] if due else sequence}

    def _record_event(self, action: str, block: str, loss_rate: float) -> None:
        self.sequence += 1
        self.events.append(
            {
                'seq': self.sequence,
                'action': action,
                'hash': block,
                'at': time.monotonic(),
                'lost': self.rng.random() < loss_rate,
            }
        )
