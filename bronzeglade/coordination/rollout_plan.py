"""Roll-outs of endpoint versions: orders, and the plan that all nodes follow.

The plan of a service is stored in one row. A write is conditional on the row
being unchanged and also updates the status that the operator reads. Any node
may write it; a write based on a stale read is rejected.

A store that is restored from a backup loses its last writes and gives their
versions out again. Numbers of orders therefore contain the store's era, and a
plan never goes back: the nodes that know its lost steps write them again.
"""

import dataclasses
import datetime as dt
import enum
import json
from typing import Annotated

import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade.adapters.table import Row
from bronzeglade.validation import first_error

PLAN_PREFIX = 'bronzeglade/rollout/'
# Bounds that keep times within the range of timedelta arithmetic, and numbers
# of orders within 64 bits.
_MAX_TIME_MS = 10**15
_MAX_ORDER = 2**63 - 1
# Numbers of orders combine the store's era with the version of the row.
_VERSIONS = 2**48
_MILLISECOND = dt.timedelta(milliseconds=1)


class Stage(enum.Enum):
    """Stage of a roll-out."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to roll out version `target` of a service.

    `number` identifies an order among those of the service.
    """

    service: str
    target: str
    duration: dt.timedelta
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The plan by which all nodes carry out an order.

    `began` and `stepped` are the monotonic times, by the store's clock, of the
    start and of the last step. `share` is the fraction of new work that the
    target gets from `stepped` on, `share_before` the fraction until then. The
    time of a step is slightly in the future when it is written, so that all
    nodes apply it at the same time. `withdrawn` lists the versions that were
    rolled back; `writer` is the node that wrote the plan and continues it.
    """

    service: str
    target: str
    order: int
    stage: Stage
    share: float
    began: dt.timedelta
    stepped: dt.timedelta
    withdrawn: tuple[str, ...] = ()
    reason: str = ''
    writer: str = ''
    share_before: float = 0

    def share_at(self, now: dt.timedelta) -> float:
        """Return the target's fraction of new work at a time.

        Args:
          now: the store's monotonic time.
        """
        return self.share if now >= self.stepped else self.share_before


def order_number(era: int, version: int) -> int:
    """Return the number of an order.

    Args:
      era: era of the store.
      version: version of the order's row.
    """
    return era * _VERSIONS + min(version, _VERSIONS - 1)


def continues(plan: Plan, order: Order) -> bool:
    """Return whether a plan carries out an order of another era.

    A restored store has the row of the order with another number.
    """
    return plan.target == order.target and _is_other_era(
        plan.order, order.number
    )


def is_repeated(order: Order, known: Order) -> bool:
    """Return whether a row in a restored store is a known order."""
    return (order.target, order.duration) == (known.target, known.duration)


def is_outdated(plan: Plan, known: Plan) -> bool:
    """Return whether a plan lacks steps that a known plan has taken.

    Plans that have ended are not outdated: the endpoints of the other version
    are being shut down.
    """
    same_order = plan.order == known.order or (
        plan.target == known.target and _is_other_era(plan.order, known.order)
    )
    if not same_order:
        return plan.order < known.order
    if plan.stage is not Stage.RUNNING:
        return False
    return known.stage is not Stage.RUNNING or plan.stepped < known.stepped


def _is_other_era(order: int, other: int) -> bool:
    return order // _VERSIONS != other // _VERSIONS


def first_plan(order: Order, now: dt.timedelta, previous: Plan | None) -> Plan:
    """Return the plan of a new order.

    Args:
      order: the operator's order.
      now: the store's monotonic time.
      previous: the last plan of the service, if any.
    """
    withdrawn = previous.withdrawn if previous else ()
    return Plan(
        order.service,
        order.target,
        order.number,
        Stage.RUNNING,
        0,
        now,
        now,
        tuple(version for version in withdrawn if version != order.target),
    )


def advanced(plan: Plan, share: float, stage: Stage, at: dt.timedelta) -> Plan:
    """Return the plan after a step, or the same plan if nothing changes.

    Args:
      plan: the current plan.
      share: the target's fraction of new work after the step.
      stage: stage of the roll-out after the step.
      at: time of the step, by the store's monotonic clock.
    """
    if share == plan.share and stage is plan.stage:
        return plan
    return dataclasses.replace(
        plan, share=share, share_before=plan.share, stage=stage, stepped=at
    )


def rolled_back(plan: Plan, reason: str) -> Plan:
    """Return the plan that withdraws the target after a fault."""
    return dataclasses.replace(
        plan,
        stage=Stage.ROLLED_BACK,
        share=0,
        withdrawn=(*plan.withdrawn, plan.target),
        reason=reason,
    )


def encode(plan: Plan) -> bytes:
    """Encode a plan as the body of its row."""
    document = {
        **dataclasses.asdict(plan),
        'stage': plan.stage.value,
        'began': plan.began // _MILLISECOND,
        'stepped': plan.stepped // _MILLISECOND,
    }
    return json.dumps(document).encode()


_Milliseconds = Annotated[int, Field(ge=-_MAX_TIME_MS, le=_MAX_TIME_MS)]
_Share = Annotated[float, Field(ge=0, le=1)]


class _Document(pd.BaseModel):
    """The body of a row; times are in milliseconds."""

    service: str
    target: str
    order: int = Field(ge=0, le=_MAX_ORDER)
    stage: Stage
    share: _Share
    began: _Milliseconds
    stepped: _Milliseconds
    withdrawn: tuple[str, ...] = ()
    reason: str = ''
    writer: str = ''
    share_before: _Share = 0


def decode(row: Row) -> Result[Plan, str]:
    """Decode the plan of a row, or return why it is not valid."""
    try:
        document = _Document.model_validate_json(row.body)
    except pd.ValidationError as error:
        return Err(first_error(error))
    if row.key != PLAN_PREFIX + document.service:
        return Err('the plan of another service')
    fields = dict(document)
    for name in ('began', 'stepped'):
        fields[name] *= _MILLISECOND
    return Ok(Plan(**fields))
