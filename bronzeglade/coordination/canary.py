"""Roll-outs of endpoint versions: orders, and the plan that all nodes follow.

The plan of a service is one row that is written under the condition that it
has not changed, together with the status that the operator reads. Any node may
write it; a node that acts on an old view changes nothing.
"""

import dataclasses
import datetime as dt
import enum
import json

from result import Err, Ok, Result

from bronzeglade.adapters.table import Row

PLAN_PREFIX = 'bronzeglade/rollout/'
# What the decoding of bytes that are no plan raises.
_MALFORMED = (ValueError, TypeError, LookupError, OverflowError)
_MILLISECOND = dt.timedelta(milliseconds=1)


class Stage(enum.Enum):
    """How a roll-out stands."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The operator's order; `number` tells orders of a service apart."""

    service: str
    target: str
    duration: dt.timedelta
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What all nodes do about an order.

    `began` and `stepped` are monotonic times of the store: of the order and of
    the last step. `share` is the part of new work that the target gets from
    `stepped` on, `share_before` the part until then: the step lies a little
    ahead when it is written, so that all nodes take it at the same moment.
    `withdrawn` names the versions that were rolled back, `writer` the node
    that wrote the plan and goes on with it.
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
        """Return the part of new work that the target gets at a time."""
        return self.share if now >= self.stepped else self.share_before


def first_plan(order: Order, now: dt.timedelta, before: Plan | None) -> Plan:
    """Return the plan of a new order.

    Args:
      order: what the operator wants.
      now: the store's monotonic time.
      before: the last plan of the service.
    """
    withdrawn = before.withdrawn if before else ()
    return Plan(
        order.service,
        order.target,
        order.number,
        Stage.RUNNING,
        0,
        now,
        now,
        tuple(one for one in withdrawn if one != order.target),
    )


def advanced(plan: Plan, share: float, stage: Stage, at: dt.timedelta) -> Plan:
    """Return the plan after a step, or the same one without a change.

    Args:
      plan: what holds now.
      share: part of new work after the step.
      stage: how the roll-out stands then.
      at: the store's monotonic time of the step.
    """
    if share == plan.share and stage is plan.stage:
        return plan
    return dataclasses.replace(
        plan, share=share, share_before=plan.share, stage=stage, stepped=at
    )


def rolled_back(plan: Plan, reason: str) -> Plan:
    """Return the plan after a fault of the target."""
    return dataclasses.replace(
        plan,
        stage=Stage.ROLLED_BACK,
        share=0,
        withdrawn=(*plan.withdrawn, plan.target),
        reason=reason,
    )


def encode(plan: Plan) -> bytes:
    """Return the content of the row of a plan."""
    document = {
        **dataclasses.asdict(plan),
        'stage': plan.stage.value,
        'began': plan.began // _MILLISECOND,
        'stepped': plan.stepped // _MILLISECOND,
    }
    return json.dumps(document).encode()


def decode(row: Row) -> Result[Plan, str]:
    """Return the plan of a row, or why it holds none."""
    try:
        document = json.loads(row.body)
        document['stage'] = Stage(document['stage'])
        for name in ('began', 'stepped'):
            document[name] = document[name] * _MILLISECOND
        document['withdrawn'] = tuple(document['withdrawn'])
        return Ok(Plan(**document))
    except _MALFORMED as error:
        return Err(repr(error))
