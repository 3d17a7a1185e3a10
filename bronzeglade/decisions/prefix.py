"""Approximate index of the prompt prefixes that workers have cached."""

import collections
import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import xxhash

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block added to or removed from the cache of a worker.

    `sequence` increases by one with each event of the worker.
    """

    worker: str
    sequence: int
    block: str
    added: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixSettings:
    """Bounds of the index.

    An entry takes at most 300 bytes. After a lost event, entries that neither
    an event nor a request has confirmed for `max_unconfirmed_age` are dropped.
    """

    max_entries: int = 40_000  # pairs of a block and a worker
    max_holders: int = 32  # workers per block
    max_blocks: int = 64  # leading blocks of a prompt that are compared
    block_tokens: int = 16
    max_unconfirmed_age: dt.timedelta = dt.timedelta(seconds=30)


def prompt_blocks(
    messages: Iterable[Mapping[str, Any]], settings: PrefixSettings
) -> tuple[str, ...]:
    """Return the chained hashes of the leading complete blocks of a prompt.

    Engines use the same hash in their cache events: XXH64 of the preceding
    hash and the words of the block.

    Args:
      messages: messages of the request.
      settings: block size and maximum number of blocks.
    """
    limit = settings.max_blocks * settings.block_tokens
    words: list[str] = []
    for message in messages:
        words.append(str(message.get('role')))
        words.extend(str(message.get('content') or '').split())
        if len(words) >= limit:
            break
    hashes: list[str] = []
    previous = ''
    size = settings.block_tokens
    for start in range(0, min(len(words), limit) - size + 1, size):
        content = ' '.join(words[start : start + size])
        previous = xxhash.xxh64_hexdigest(f'{previous}{content}'.encode())
        hashes.append(previous)
    return tuple(hashes)


class PrefixIndex:
    """Cached blocks by worker, from routed requests and cache events."""

    def __init__(self, settings: PrefixSettings, clock: Clock) -> None:
        """Create an empty index.

        Args:
          settings: bounds.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        # Workers that hold a block, with the time of their last confirmation;
        # the least recently used block is first.
        self.holders: collections.OrderedDict[str, dict[str, dt.timedelta]]
        self.holders = collections.OrderedDict()
        self.size = 0
        self.sequences: dict[str, int] = {}
        self.dropped_at: dict[str, dt.timedelta] = {}

    def matches(self, blocks: Sequence[str]) -> dict[str, int]:
        """Return the number of leading blocks that each worker has cached.

        Workers without the first block are omitted.

        Args:
          blocks: block hashes of a prompt.
        """
        counts: dict[str, int] = {}
        for number, block in enumerate(blocks):
            holders = self.holders.get(block)
            if not holders:
                break
            for worker in holders:
                if counts.get(worker, 0) == number:
                    counts[worker] = number + 1
        return counts

    def matched_blocks(self, worker: str, blocks: Sequence[str]) -> int:
        """Return the number of leading blocks that a worker has cached."""
        return self.matches(blocks).get(worker, 0)

    def record(self, worker: str, blocks: Sequence[str]) -> None:
        """Record that the blocks of a prompt were sent to a worker."""
        for block in blocks:
            self._add(worker, block)

    def apply(self, event: CacheEvent) -> None:
        """Apply a cache event; events arrive in order but may be lost."""
        last = self.sequences.get(event.worker)
        if last is not None and event.sequence <= last:
            return
        if last is not None and event.sequence > last + 1:
            self.drop_unconfirmed(event.worker)
        self.sequences[event.worker] = event.sequence
        if event.added:
            self._add(event.worker, event.block)
        else:
            self._remove(event.worker, event.block)

    def drop_unconfirmed(self, worker: str) -> None:
        """Drop the old entries of a worker after a lost event.

        The index is scanned at most once per `max_unconfirmed_age` and worker.
        """
        oldest = self.clock.monotonic() - self.settings.max_unconfirmed_age
        if self.dropped_at.get(worker, oldest) > oldest:
            return
        self.dropped_at[worker] = self.clock.monotonic()
        stale = [
            block
            for block, holders in self.holders.items()
            if holders.get(worker, oldest) < oldest
        ]
        for block in stale:
            self._remove(worker, block)

    def forget(self, worker: str) -> None:
        """Drop all entries of a worker that was removed or restarted."""
        self.sequences.pop(worker, None)
        self.dropped_at.pop(worker, None)
        for block in list(self.holders):
            self._remove(worker, block)

    def _add(self, worker: str, block: str) -> None:
        holders = self.holders.setdefault(block, {})
        self.size += worker not in holders
        holders.pop(worker, None)
        holders[worker] = self.clock.monotonic()
        if len(holders) > self.settings.max_holders:
            holders.pop(next(iter(holders)))
            self.size -= 1
        self.holders.move_to_end(block)
        while self.size > self.settings.max_entries:
            _block, oldest = self.holders.popitem(last=False)
            self.size -= len(oldest)

    def _remove(self, worker: str, block: str) -> None:
        holders = self.holders.get(block)
        if holders is None:
            return
        self.size -= worker in holders
        holders.pop(worker, None)
        if not holders:
            self.holders.pop(block)
