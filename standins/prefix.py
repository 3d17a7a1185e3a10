"""Prefix cache of an engine: fixed-size token blocks, least recent out."""

import collections
import random
import time
from collections.abc import Mapping, Sequence
from typing import Any

import xxhash

from standins.answers import Messages

EVENTS_KEPT = 4096


def prompt_tokens(messages: Messages) -> list[str]:
    """Return the tokens of a prompt: its words, each message with its role."""
    words: list[str] = []
    for message in messages:
        words.append(str(message.get('role')))
        words.extend(str(message.get('content') or '').split())
    return words


def block_hashes(words: Sequence[str], size: int) -> list[str]:
    """Return the chained hash of each whole block of a prompt.

    A block's hash is XXH64 of the hash of the block before it, as hexadecimal
    text, followed by the block's words joined by spaces.

    Args:
      words: tokens of the prompt.
      size: tokens in a block.
    """
    hashes: list[str] = []
    previous = ''
    for start in range(0, len(words) - size + 1, size):
        content = ' '.join(words[start : start + size])
        text = f'{previous}{content}'.encode()
        previous = xxhash.xxh64_hexdigest(text)
        hashes.append(previous)
    return hashes


class PrefixCache:
    """Blocks in memory and the events that tell of their changes."""

    def __init__(self, capacity: int, loss: random.Random) -> None:
        """Create an empty cache.

        Args:
          capacity: blocks that fit into memory.
          loss: decides which events are never delivered.
        """
        self.capacity = capacity
        self.loss = loss
        self.blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=EVENTS_KEPT
        )
        self.sequence = 0

    def matched(self, hashes: Sequence[str]) -> int:
        """Return how many leading blocks are cached; they become recent."""
        count = 0
        for block in hashes:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            count += 1
        return count

    def add(self, hashes: Sequence[str], loss_rate: float = 0) -> None:
        """Keep blocks; the least recent ones leave when memory is full."""
        for block in hashes:
            if block not in self.blocks:
                self._tell('added', block, loss_rate)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            oldest, _nothing = self.blocks.popitem(last=False)
            self._tell('removed', oldest, loss_rate)

    def events_since(self, sequence: int, lag_s: float) -> Mapping[str, Any]:
        """Return the events after a sequence number that are due.

        Args:
          sequence: the last one that the reader has.
          lag_s: age from which events are delivered.
        """
        latest = time.monotonic() - lag_s
        due = [
            one
            for one in self.events
            if one['seq'] > sequence and one['at'] <= latest
        ]
        events = [
            {key: one[key] for key in ('seq', 'action', 'hash')}
            for one in due
            if not one['lost']
        ]
        return {'events': events, 'next': due[-1]['seq'] if due else sequence}

    def _tell(self, action: str, block: str, loss_rate: float) -> None:
        self.sequence += 1
        self.events.append(
            {
                'seq': self.sequence,
                'action': action,
                'hash': block,
                'at': time.monotonic(),
                'lost': self.loss.random() < loss_rate,
            }
        )
