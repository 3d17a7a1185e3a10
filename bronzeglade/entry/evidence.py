"""Evidence about versions: failures and times to the first token."""

import datetime as dt

from bronzeglade.adapters.rating import Sample
from bronzeglade.decisions.evidence import FAILED, Observation
from bronzeglade.entry.dispatch import StartedAnswer
from bronzeglade.entry.node import Node


def record_first_token(
    node: Node, started: StartedAnswer, started_at: dt.timedelta
) -> None:
    """Record the time to the first token relative to the rank's target.

    Args:
      node: state of this process.
      started: an answer whose first event has arrived.
      started_at: monotonic start of its dispatch.
    """
    prepared = started.prepared
    target = dt.timedelta(milliseconds=prepared.caller.rank.first_token_ms)
    observation = Observation(
        latency_ratio=(started.first_event_at - started_at) / target,
        counts=False,
    )
    node.versions.observe(
        prepared.choice.model, prepared.choice.version, observation
    )


def record_end(node: Node, started: StartedAnswer) -> None:
    """Record whether an answer is complete, and offer it for rating.

    Args:
      node: state of this process.
      started: an answer whose body has been read to its end.
    """
    choice = started.prepared.choice
    if not started.answer.complete:
        node.versions.observe(choice.model, choice.version, FAILED)
        return
    node.versions.observe(choice.model, choice.version, Observation())
    node.rating_sampler.offer(sample_of(started))


def sample_of(started: StartedAnswer) -> Sample:
    """Return the prompt and the complete answer for the rating service."""
    prepared = started.prepared
    return Sample(
        [
            message.model_dump(exclude_none=True)
            for message in prepared.chat.messages
        ],
        ''.join(started.answer.text),
        prepared.choice.model,
        prepared.choice.version,
    )
