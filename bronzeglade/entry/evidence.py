"""Evidence from requests: errors and times to the first token."""

import datetime as dt

from bronzeglade.adapters.rating import Sample
from bronzeglade.decisions.evidence import FAILED, Observation
from bronzeglade.entry.dispatch import Started
from bronzeglade.entry.node import Node


def first_token(node: Node, started: Started, began: dt.timedelta) -> None:
    """Count the time to the first token.

    Args:
      node: state of this process.
      started: an answer whose first event has arrived.
      began: monotonic time at which its worker was chosen.
    """
    work = started.work
    target = dt.timedelta(milliseconds=work.caller.rank.first_token_ms)
    observation = Observation(
        latency_ratio=(started.at - began) / target, counts=False
    )
    node.versions.observe(work.choice.model, work.choice.version, observation)


def ended(node: Node, started: Started) -> None:
    """Count the end of an answer that its caller waited for.

    Args:
      node: state of this process.
      started: an answer whose body is read to its end.
    """
    choice = started.work.choice
    if not started.answer.complete:
        node.versions.observe(choice.model, choice.version, FAILED)
        return
    node.versions.observe(choice.model, choice.version, Observation())
    node.rating_sampler.offer(sample_of(started))


def sample_of(started: Started) -> Sample:
    """Return a whole answer for the rating service."""
    work = started.work
    return Sample(
        [one.model_dump(exclude_none=True) for one in work.chat.messages],
        ''.join(started.answer.text),
        work.choice.model,
        work.choice.version,
    )
