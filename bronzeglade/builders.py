"""Builders of test data and in-memory fakes."""

import dataclasses
import datetime as dt
import json
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import eventlet
from result import Err, Ok, Result

from bronzeglade import catalog as catalogs
from bronzeglade.adapters.table import (
    CommitError,
    Conflict,
    Row,
    StoreError,
    Transaction,
    Unavailable,
    Unknown,
)
from bronzeglade.catalog import Catalog, Configuration
from bronzeglade.manifest import Rollout
from bronzeglade.settings import EntrySettings

PEER_KEY = '1:000102030405060708090a0b0c0d0e0f'
DOMAINS = ('a', 'b', 'c')
_EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


def largest_step(count: Callable[[], int], target: int) -> int:
    """Return how far a count rises between two runs of this green thread.

    Args:
      count: returns the work that other green threads have done.
      target: where to stop.
    """
    largest = 0
    before = count()
    while before < target:
        eventlet.sleep(0)
        after = count()
        largest = max(largest, after - before)
        before = after
    return largest


class CallCounter:
    """Counts the calls of a function that a test replaces."""

    def __init__(self) -> None:
        """Start without calls."""
        self.count = 0

    def wrap(self, counted: Callable[..., Any]) -> Callable[..., Any]:
        """Return a function that calls another one and counts this."""

        def counting(*arguments: Any) -> Any:
            self.count += 1
            return counted(*arguments)

        return counting


class ManualClock:
    """A clock that advances only by calls of `advance` and `sleep`."""

    def __init__(self) -> None:
        """Start at a fixed date."""
        self.elapsed = dt.timedelta()

    def now(self) -> dt.datetime:
        """Return the wall-clock time in UTC."""
        return _EPOCH + self.elapsed

    def monotonic(self) -> dt.timedelta:
        """Return the time elapsed since the clock was created."""
        return self.elapsed

    def sleep(self, duration: dt.timedelta) -> None:
        """Advance the clock without waiting."""
        self.advance(duration)

    def advance(self, duration: dt.timedelta) -> None:
        """Advance the clock."""
        self.elapsed += duration


@dataclasses.dataclass(slots=True)
class FakeStream:
    """An engine's event stream that yields fixed payloads and then ends.

    `complete_after` says whether the stream counts as complete at its end.
    """

    payloads: Sequence[bytes]
    complete_after: bool = True
    complete: bool = False
    closed: bool = False

    def batches(self) -> Iterator[list[bytes]]:
        """Yield each payload as a batch of its own."""
        for payload in self.payloads:
            yield [payload]
        self.complete = self.complete_after

    def close(self) -> None:
        """Record that the stream was closed."""
        self.closed = True


def engine_event(
    request_id: str,
    text: str | None = None,
    finish_reason: str | None = None,
    usage: dict[str, int] | None = None,
) -> bytes:
    """Return the payload of a chat completion event.

    Args:
      request_id: request that the event belongs to.
      text: generated text.
      finish_reason: set on the last event with choices.
      usage: token counts; set on the final event, which has no choices.
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
    """Return the event payloads of an answer from a given token on.

    Args:
      request_id: request that the events belong to.
      first: index of the first token to send.
      count: number of tokens in the whole answer.
    """
    usage = {'prompt_tokens': 1, 'completion_tokens': count}
    return [
        *(engine_event(request_id, f'w{n} ') for n in range(first, count)),
        engine_event(request_id, finish_reason='stop'),
        engine_event(request_id, usage=usage),
    ]


class MemoryTable:
    """An in-memory table that simulates outages and lost replies."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.rows: dict[str, Row] = {}
        self.available = True
        self.lose_reply = False
        self.before_commit: Callable[[], None] | None = None
        self.after_lost_reply: Callable[[], None] | None = None

    def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, Row], StoreError]:
        """Read rows by key."""
        if not self.available:
            return Err(StoreError('outage'))
        return Ok({key: self.rows[key] for key in keys if key in self.rows})

    def scan(self, prefix: str, limit: int) -> Result[list[Row], StoreError]:
        """Read rows by key prefix, in the order of their keys."""
        if not self.available:
            return Err(StoreError('outage'))
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return Ok([self.rows[key] for key in keys[:limit]])

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction.

        `before_commit` is called before the next transaction, then cleared.
        If `lose_reply` is set, the transaction is applied, but its outcome is
        reported as unknown; `after_lost_reply` is called then, once.
        """
        before_commit = self.before_commit
        self.before_commit = None
        if before_commit is not None:
            before_commit()
        if not self.available:
            return Err(Unavailable('outage'))
        outcome = self._apply(transaction)
        if self.lose_reply:
            self.lose_reply = False
            after_lost_reply = self.after_lost_reply
            self.after_lost_reply = None
            if after_lost_reply is not None:
                after_lost_reply()
            return Err(Unknown('lost reply'))
        return outcome

    def _apply(self, transaction: Transaction) -> Result[None, CommitError]:
        for check in transaction.checks:
            version = self._version(check.key)
            if version != check.version:
                return Err(Conflict(check.key, version))
        for put in transaction.puts:
            version = self._version(put.key) + 1
            self.rows[put.key] = Row(put.key, version, put.body)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Ok(None)

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0


def entry_settings(index: int = 0, **changes: Any) -> EntrySettings:
    """Return the settings of a node.

    Args:
      index: number of the node, 0 to 999; failure domains alternate.
      changes: settings to override, by name.
    """
    defaults = {
        'vm': f'entry-{index}',
        'host': f'10.0.{index // 250}.{index % 250 + 1}',
        'port': 8000,
        'control_port': 8001,
        'failure_domain': DOMAINS[index % len(DOMAINS)],
        'vm_list_url': 'http://10.1.0.1:80',
        'table_url': 'http://10.1.0.2:80',
        'peer_keys': PEER_KEY,
    }
    return EntrySettings.model_validate({**defaults, **changes})


def manifest_document(deployment: str = 'test') -> dict[str, Any]:
    """Return a small valid manifest with one model and one team."""
    return {
        'deployment': deployment,
        'failure_domains': [{'name': name, 'region': 'r'} for name in DOMAINS],
        'ranks': [
            {
                'name': 'urgent',
                'priority': 0,
                'first_token_ms': 800,
                'inter_token_ms': 26,
            }
        ],
        'models': [
            {
                'name': 'model',
                'prompt_cost': 1,
                'completion_cost': 1,
                'versions': [{'name': 'v1', 'state': 'serving'}],
            }
        ],
        'teams': [
            {
                'name': 'team',
                'key_hashes': ['a' * 64],
                'rank': 'urgent',
                'grants': [{'model': 'model'}],
            }
        ],
        'operators': [{'name': 'operator', 'key_hashes': ['b' * 64]}],
    }


def manifest_text(deployment: str = 'test') -> bytes:
    """Return `manifest_document` as JSON text."""
    return json.dumps(manifest_document(deployment)).encode()


def rollout(**changes: Any) -> Rollout:
    """Return a roll-out of model `m` from `v1` to `v2` in three steps.

    Args:
      changes: fields to override, by name.
    """
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
    """Return a catalog of model `m`: `v1` serving, `v2` and `v3` allowed."""
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
        'rollouts': [entry.model_dump(mode='json') for entry in rollouts],
        'operators': [{'name': 'o', 'key_hashes': ['0' * 64]}],
    }
    text = json.dumps(document).encode()
    built, errors = catalogs.build(Configuration(1, 'digest', text))
    if built is None:
        raise ValueError(errors)
    return built
