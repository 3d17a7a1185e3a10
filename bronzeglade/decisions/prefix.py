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
    """A change of a worker's cache; `sequence` counts up by one."""

    worker: str
    sequence: int
    block: str
    added: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixSettings:
    """Bounds of the index.

    An entry takes at most 300 bytes. After a lost event, entries that neither
    an event nor a request confirmed for `trust` are dropped.
    """

    entries: int = 40_000  # pairs of a block and a worker
    holders: int = 32  # workers that are kept for each block
    blocks: int = 64  # leading blocks of a prompt that are looked at
    block_tokens: int = 16
    trust: dt.timedelta = dt.timedelta(seconds=30)


def prompt_blocks(
    messages: Iterable[Mapping[str, Any]], settings: PrefixSettings
) -> tuple[str, ...]:
    """Return the chained hashes of a prompt's leading whole blocks.

    The hash is the one that engines use in their cache events: XXH64 of the
    hash before it and the block's words.

    Args:
      messages: messages of the request.
      settings: size of a block and how many are wanted.
    """
    limit = settings.blocks * settings.block_tokens
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
    """Which worker has which block, from own routing and cache events."""

    def __init__(self, settings: PrefixSettings, clock: Clock) -> None:
        """Create an empty index.

        Args:
          settings: bounds.
          clock: monotonic time.
        """
        self.settings = settings
        self.clock = clock
        self.holders: collections.OrderedDict[str, dict[str, dt.timedelta]]
        self.holders = collections.OrderedDict()
        self.size = 0
        self.sequences: dict[str, int] = {}
        self.distrusted: dict[str, dt.timedelta] = {}

    def matches(self, blocks: Sequence[str]) -> dict[str, int]:
        """Return how many leading blocks each worker has; none is left out.

        Args:
          blocks: hashes of a prompt.
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
        """Return how many leading blocks a worker is taken to have."""
        return self.matches(blocks).get(worker, 0)

    def record(self, worker: str, blocks: Sequence[str]) -> None:
        """Take note of a prompt that was sent to a worker."""
        for block in blocks:
            self._add(worker, block)

    def apply(self, event: CacheEvent) -> None:
        """Take a cache event; events come in order, some never."""
        last = self.sequences.get(event.worker)
        if last is not None and event.sequence <= last:
            return
        if last is not None and event.sequence > last + 1:
            self.distrust(event.worker)
        self.sequences[event.worker] = event.sequence
        if event.added:
            self._add(event.worker, event.block)
        else:
            self._remove(event.worker, event.block)

    def distrust(self, worker: str) -> None:
        """Drop old entries of a worker some of whose events were lost.

        The index is walked at most once in `trust` for each worker.
        """
        oldest = self.clock.monotonic() - self.settings.trust
        if self.distrusted.get(worker, oldest) > oldest:
            return
        self.distrusted[worker] = self.clock.monotonic()
        stale = [
            block
            for block, holders in self.holders.items()
            if holders.get(worker, oldest) < oldest
        ]
        for block in stale:
            self._remove(worker, block)

    def forget(self, worker: str) -> None:
        """Drop everything of a worker that has gone or restarted."""
        self.sequences.pop(worker, None)
        self.distrusted.pop(worker, None)
        for block in list(self.holders):
            self._remove(worker, block)

    def _add(self, worker: str, block: str) -> None:
        holders = self.holders.setdefault(block, {})
        self.size += worker not in holders
        holders.pop(worker, None)
        holders[worker] = self.clock.monotonic()
        if len(holders) > self.settings.holders:
            holders.pop(next(iter(holders)))
            self.size -= 1
        self.holders.move_to_end(block)
        while self.size > self.settings.entries:
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
