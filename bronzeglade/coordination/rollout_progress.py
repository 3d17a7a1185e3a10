"""State of roll-outs: the durable row, and the state gossiped between nodes.

Row `rollout/NAME` holds the current step. Only the lease holder writes it. Its
transaction checks the versions of the row that it read and of the lease, so no
step is repeated or skipped. Any node may declare a halt. A halt is permanent: a
row or a message that lacks it does not remove it.
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
# Halts of roll-outs in the manifest come first in gossip; the others are also
# stored in their rows.
MAX_GOSSIPED_HALTS = 32
MAX_FORMER_RUNS = 64  # earlier halted runs listed in the row of a roll-out
FORMER_REASON = 'halted earlier'


class RolloutState(enum.StrEnum):
    """State of a roll-out's row."""

    RUNNING = 'running'
    DONE = 'done'  # the last step has enough evidence; its share stays
    HALTED = 'halted'


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutProgress:
    """Content of a roll-out's row.

    `run` identifies the pair of versions (see `run_id`), `token` is the fencing
    token of the lease holder that wrote the row, and `sequence` increases with
    each write under a name. `share` is the fraction of new work for the
    candidate version. `former` lists earlier halted runs under the same name;
    it is not gossiped.
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
    """Decoded row of a roll-out and its row version."""

    progress: RolloutProgress | None
    version: int


def run_id(rollout: Rollout) -> str:
    """Return the identifier of a roll-out, a hash of its definition.

    It covers the name, the model and both versions, but not the steps.
    """
    text = (
        f'{rollout.name} {rollout.model} '
        f'{rollout.from_version} {rollout.to_version}'
    )
    return hashlib.sha256(text.encode()).hexdigest()[:ID_DIGITS]


def row_key(name: str) -> str:
    """Return the table key of a roll-out's row."""
    return ROW_PREFIX + name


def decode_row(row: Row | None) -> StoredProgress:
    """Decode a roll-out's row; the progress is None when it is absent."""
    if row is None:
        return StoredProgress(None, ABSENT)
    return StoredProgress(unpack(msgpack.unpackb(row.body)), row.version)


def pack(progress: RolloutProgress) -> list[object]:
    """Return the fields of a progress as a list for MessagePack."""
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


def unpack(document: Sequence[Any]) -> RolloutProgress:
    """Restore a progress from a list made by `pack`."""
    content = list(document)
    content[3] = RolloutState(content[3])
    content[7] = tuple(content[7])
    return RolloutProgress(*content)


def started(
    rollout: Rollout,
    stored: StoredProgress,
    tenure: Tenure,
    halts: Collection[str],
) -> RolloutProgress:
    """Return the progress of a roll-out at its first step.

    Args:
      rollout: the published roll-out.
      stored: the row of a previous roll-out with this name, if any.
      tenure: leadership of the lease holder.
      halts: runs that are known to be halted.
    """
    previous = stored.progress
    former: tuple[str, ...] = ()
    sequence = 1
    if previous is not None:
        former = previous.former
        sequence = previous.sequence + 1
        if previous.run in halts and previous.run not in former:
            former = (*former, previous.run)[-MAX_FORMER_RUNS:]
    return RolloutProgress(
        run_id(rollout),
        0,
        rollout.steps[0].share,
        RolloutState.RUNNING,
        tenure.token,
        sequence,
        former=former,
    )


def advanced(
    rollout: Rollout, progress: RolloutProgress, tenure: Tenure
) -> RolloutProgress:
    """Return the progress at the next step; state DONE after the last step."""
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


def halted(
    progress: RolloutProgress, reason: str, tenure: Tenure
) -> RolloutProgress:
    """Return the progress of a roll-out after a halt."""
    return dataclasses.replace(
        progress,
        state=RolloutState.HALTED,
        token=tenure.token,
        sequence=progress.sequence + 1,
        reason=reason,
    )


def write(
    name: str, stored: StoredProgress, changed: RolloutProgress, tenure: Tenure
) -> Transaction:
    """Return the transaction by which the lease holder updates a row.

    Args:
      name: name of the roll-out.
      stored: the row that was read.
      changed: new content of the row.
      tenure: leadership of the lease holder; the commit conflicts if stale.
    """
    key = row_key(name)
    return Transaction(
        checks=(tenure.check, Check(key, stored.version)),
        puts=(Put(key, msgpack.packb(pack(changed))),),
    )


class RolloutView:
    """Roll-out state known to a node, from rows and from gossip."""

    def __init__(self) -> None:
        """Create an empty view, in which every candidate has a share of 0."""
        self.progress: dict[str, RolloutProgress] = {}
        self.halts: dict[str, str] = {}

    def update(self, name: str, progress: RolloutProgress) -> None:
        """Update the view from a row or from gossip.

        Args:
          name: name of the roll-out.
          progress: state of a run; if it is not newer than the known state,
            only its halts are used.
        """
        if progress.state is RolloutState.HALTED:
            self.halt(progress.run, progress.reason)
        for run in progress.former:
            self.halt(run, FORMER_REASON)
        known = self.progress.get(name)
        if known is None or known.sequence < progress.sequence:
            self.progress[name] = progress

    def halt(self, run: str, reason: str) -> None:
        """Record a halt; the first reason for a run is kept."""
        self.halts.setdefault(run, reason)

    def halt_reason(self, rollout: Rollout) -> str | None:
        """Return why a roll-out is halted, or None when it is not."""
        return self.halts.get(run_id(rollout))

    def current(self, rollout: Rollout) -> RolloutProgress | None:
        """Return the known progress of a roll-out, or None."""
        progress = self.progress.get(rollout.name)
        if progress is None or progress.run != run_id(rollout):
            return None
        return progress

    def share(self, rollout: Rollout) -> float:
        """Return the fraction of new work for the candidate version."""
        progress = self.current(rollout)
        if progress is None or self.halt_reason(rollout) is not None:
            return 0
        return progress.share

    def document(self, rollouts: Iterable[Rollout]) -> dict[str, Any]:
        """Return the state that this node gossips.

        Args:
          rollouts: roll-outs of the active manifest.
        """
        listed = list(rollouts)
        runs = {run_id(rollout) for rollout in listed}
        halts = sorted(self.halts.items(), key=lambda halt: halt[0] not in runs)
        return {
            'steps': {
                rollout.name: pack(dataclasses.replace(progress, former=()))
                for rollout in listed
                if (progress := self.current(rollout)) is not None
            },
            'halts': dict(halts[:MAX_GOSSIPED_HALTS]),
        }

    def merge(self, document: Mapping[str, Any]) -> None:
        """Update the view from the gossiped state of another node."""
        for run, reason in document['halts'].items():
            self.halt(run, reason)
        for name, packed in document['steps'].items():
            self.update(name, unpack(packed))
