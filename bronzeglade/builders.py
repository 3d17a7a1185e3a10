"""Builders of test data."""

import dataclasses
import datetime as dt
import json
from collections.abc import Iterator, Sequence
from typing import Any

from bronzeglade import catalog as catalogs
from bronzeglade.catalog import Catalog, Configuration
from bronzeglade.manifest import Rollout

_EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class ManualClock:
    """A clock that moves only when it is told to."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.elapsed = dt.timedelta()

    def now(self) -> dt.datetime:
        """Return the wall time."""
        return _EPOCH + self.elapsed

    def monotonic(self) -> dt.timedelta:
        """Return the time since the start."""
        return self.elapsed

    def sleep(self, duration: dt.timedelta) -> None:
        """Advance without waiting."""
        self.advance(duration)

    def advance(self, duration: dt.timedelta) -> None:
        """Move the time forward."""
        self.elapsed += duration


@dataclasses.dataclass(slots=True)
class FakeStream:
    """A stream of an engine that sends given payloads and then ends."""

    payloads: Sequence[bytes]
    complete_after: bool = True
    complete: bool = False
    closed: bool = False

    def batches(self) -> Iterator[list[bytes]]:
        """Yield each payload by itself."""
        for payload in self.payloads:
            yield [payload]
        self.complete = self.complete_after

    def close(self) -> None:
        """Note the call."""
        self.closed = True


def engine_event(
    request_id: str,
    text: str | None = None,
    finish_reason: str | None = None,
    usage: dict[str, int] | None = None,
) -> bytes:
    """Return the payload of an event of an engine.

    Args:
      request_id: the request that it belongs to.
      text: generated text.
      finish_reason: set on the last event with choices.
      usage: set on the event without choices.
    """
    delta = {} if text is None else {'content': text}
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    document: dict[str, Any] = {
        'id': f'chatcmpl-{request_id}',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': 'm@v1',
        'choices': [] if usage else [choice],
    }
    if usage:
        document['usage'] = usage
    return json.dumps(document).encode()


def engine_events(request_id: str, first: int, count: int) -> list[bytes]:
    """Return the payloads of an answer of `count` tokens.

    Args:
      request_id: the request that it belongs to.
      first: token to start at.
      count: tokens of the whole answer.
    """
    usage = {'prompt_tokens': 1, 'completion_tokens': count}
    return [
        *(engine_event(request_id, f'w{n} ') for n in range(first, count)),
        engine_event(request_id, finish_reason='stop'),
        engine_event(request_id, usage=usage),
    ]


def rollout(**changes: Any) -> Rollout:
    """Return a roll-out of `m` from `v1` to `v2` in three steps."""
    document: dict[str, Any] = {
        'name': 'r',
        'model': 'm',
        'from_version': 'v1',
        'to_version': 'v2',
        'steps': [
            {'share': share, 'min_requests': 10, 'min_seconds': 5}
            for share in (0.1, 0.5, 1)
        ],
    }
    return Rollout.model_validate({**document, **changes})


def catalog(*rollouts: Rollout) -> Catalog:
    """Return a catalog of model `m` with `v1` serving and two allowed."""
    states = {'v1': 'serving', 'v2': 'allowed', 'v3': 'allowed'}
    document = {
        'deployment': 'test',
        'failure_domains': [{'name': 'd0', 'region': 'r0'}],
        'ranks': [
            {
                'name': 'standard',
                'priority': 1,
                'first_token_ms': 800,
                'inter_token_ms': 26,
            }
        ],
        'models': [
            {
                'name': 'm',
                'prompt_cost': 1,
                'completion_cost': 4,
                'versions': [
                    {'name': name, 'state': state}
                    for name, state in states.items()
                ],
            }
        ],
        'rollouts': [one.model_dump(mode='json') for one in rollouts],
        'operators': [{'name': 'o', 'key_hashes': ['0' * 64]}],
    }
    text = json.dumps(document).encode()
    built, errors = catalogs.build(Configuration(1, 'digest', text))
    if built is None:
        raise ValueError(errors)
    return built
