"""State of roll-outs: the durable row, and what nodes tell each other.

Row `rollout/NAME` holds the step. It is written by the lease holder only,
from the row that it read, with the versions of that row and of the lease as
checks, so no step is taken twice or skipped. A halt is a fact that only
grows: any node may declare it, and a row or a message without it never
removes it.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any

import msgpack

from bronzeglade.adapters.table import ABSENT, Check, Put, Row, Transaction
from bronzeglade.coordination.lease import Tenure
from bronzeglade.manifest import Rollout

ROW_PREFIX = 'rollout/'
ID_DIGITS = 16
# Halts that a node repeats in gossip; those of the manifest come first, the
# others are kept by their rows.
GOSSIPED_HALTS = 32
KEPT_FORMER = 64  # halted runs that a row of the same name remembers
FORMER_REASON = 'halted earlier'


class RolloutState(enum.StrEnum):
    """State of a roll-out's row."""

    RUNNING = 'running'
    DONE = 'done'  # the last step has its evidence; its share stays
    HALTED = 'halted'


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Content of a roll-out's row.

    `run` names the pair of versions; `token` is the fencing token of the
    holder that wrote the row, `sequence` rises with every write of a name.
    `former` holds halted runs of the same name; gossip leaves it out.
    """

    run: str
    step: int
    share: float
    state: RolloutState
    token: int
    sequence: int
    reason: str = ''
    former: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredProgress:
    """A row and its version."""

    progress: Progress | None
    version: int


def run_id(rollout: Rollout) -> str:
    """Return the identity of a roll-out: its name and both versions."""
    text = (
        f'{rollout.name} {rollout.model} '
        f'{rollout.from_version} {rollout.to_version}'
    )
    return hashlib.sha256(text.encode()).hexdigest()[:ID_DIGITS]


def row_key(name: str) -> str:
    """Return the key of a roll-out's row."""
    return ROW_PREFIX + name


def decode_row(row: Row | None) -> StoredProgress:
    """Return the content of a roll-out's row."""
    if row is None:
        return StoredProgress(None, ABSENT)
    return StoredProgress(unpack(msgpack.unpackb(row.body)), row.version)


def pack(progress: Progress) -> list[object]:
    """Return a progress as a list for MessagePack."""
    return [
        progress.run,
        progress.step,
        progress.share,
        progress.state.value,
        progress.token,
        progress.sequence,
        progress.reason,
        progress.former,
    ]


def unpack(document: Sequence[Any]) -> Progress:
    """Return the progress of a list made by `pack`."""
    content = list(document)
    content[3] = RolloutState(content[3])
    content[7] = tuple(content[7])
    return Progress(*content)


def started(
    rollout: Rollout,
    stored: StoredProgress,
    tenure: Tenure,
    halts: Collection[str],
) -> Progress:
    """Return the first step of a roll-out.

    Args:
      rollout: as it is published.
      stored: the row of an earlier roll-out with this name, if any.
      tenure: leadership of the holder.
      halts: runs that are known to be halted.
    """
    earlier = stored.progress
    former: tuple[str, ...] = ()
    sequence = 1
    if earlier is not None:
        former = earlier.former
        sequence = earlier.sequence + 1
        if earlier.run in halts and earlier.run not in former:
            former = (*former, earlier.run)[-KEPT_FORMER:]
    return Progress(
        run_id(rollout),
        0,
        rollout.steps[0].share,
        RolloutState.RUNNING,
        tenure.token,
        sequence,
        former=former,
    )


def advanced(rollout: Rollout, progress: Progress, tenure: Tenure) -> Progress:
    """Return the state after the present step, one step further or done."""
    last = len(rollout.steps) - 1
    step = min(progress.step + 1, last)
    done = progress.step >= last
    return dataclasses.replace(
        progress,
        step=step,
        share=rollout.steps[step].share,
        state=RolloutState.DONE if done else RolloutState.RUNNING,
        token=tenure.token,
        sequence=progress.sequence + 1,
    )


def halted(progress: Progress, reason: str, tenure: Tenure) -> Progress:
    """Return the state of a roll-out that is halted."""
    return dataclasses.replace(
        progress,
        state=RolloutState.HALTED,
        token=tenure.token,
        sequence=progress.sequence + 1,
        reason=reason,
    )


def write(
    name: str, stored: StoredProgress, changed: Progress, tenure: Tenure
) -> Transaction:
    """Return the holder's write of a row.

    Args:
      name: name of the roll-out.
      stored: the row that was read.
      changed: its next content.
      tenure: leadership of the holder; a stale one makes a conflict.
    """
    key = row_key(name)
    return Transaction(
        checks=(tenure.check, Check(key, stored.version)),
        puts=(Put(key, msgpack.packb(pack(changed))),),
    )


class RolloutView:
    """What a node knows of all roll-outs, from rows and from other nodes."""

    def __init__(self) -> None:
        """Know nothing: every candidate has a share of 0."""
        self.progress: dict[str, Progress] = {}
        self.halts: dict[str, str] = {}

    def learn(self, name: str, progress: Progress) -> None:
        """Take in a row or what another node knows of it.

        Args:
          name: name of the roll-out.
          progress: possibly older than what is known.
        """
        if progress.state is RolloutState.HALTED:
            self.halt(progress.run, progress.reason)
        for run in progress.former:
            self.halt(run, FORMER_REASON)
        known = self.progress.get(name)
        if known is None or known.sequence < progress.sequence:
            self.progress[name] = progress

    def halt(self, run: str, reason: str) -> None:
        """Declare or take in a halt; the first reason stays."""
        self.halts.setdefault(run, reason)

    def halt_reason(self, rollout: Rollout) -> str | None:
        """Return why a roll-out is halted, or None when it is not."""
        return self.halts.get(run_id(rollout))

    def current(self, rollout: Rollout) -> Progress | None:
        """Return the known progress of a roll-out as it is published."""
        progress = self.progress.get(rollout.name)
        if progress is None or progress.run != run_id(rollout):
            return None
        return progress

    def share(self, rollout: Rollout) -> float:
        """Return the part of new work that the candidate gets."""
        progress = self.current(rollout)
        if progress is None or self.halt_reason(rollout) is not None:
            return 0
        return progress.share

    def document(self, rollouts: Iterable[Rollout]) -> dict[str, Any]:
        """Return what this node tells the others.

        Args:
          rollouts: those of the manifest in force.
        """
        listed = list(rollouts)
        runs = {run_id(rollout) for rollout in listed}
        halts = sorted(self.halts.items(), key=lambda one: one[0] not in runs)
        return {
            'steps': {
                rollout.name: pack(dataclasses.replace(progress, former=()))
                for rollout in listed
                if (progress := self.current(rollout)) is not None
            },
            'halts': dict(halts[:GOSSIPED_HALTS]),
        }

    def merge(self, document: Mapping[str, Any]) -> None:
        """Take in what another node told."""
        for run, reason in document['halts'].items():
            self.halt(run, reason)
        for name, packed in document['steps'].items():
            self.learn(name, unpack(packed))
