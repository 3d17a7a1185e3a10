"""Builders of test data."""

import dataclasses
import datetime as dt
import json
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

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


class MemoryTable:
    """A table in memory with outages and lost replies."""

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
        """Read rows by prefix."""
        if not self.available:
            return Err(StoreError('outage'))
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return Ok([self.rows[key] for key in keys[:limit]])

    def commit(self, transaction: Transaction) -> Result[None, CommitError]:
        """Apply a transaction; `before_commit` runs once ahead of it."""
        before = self.before_commit
        self.before_commit = None
        if before is not None:
            before()
        if not self.available:
            return Err(Unavailable('outage'))
        outcome = self._apply(transaction)
        if self.lose_reply:
            self.lose_reply = False
            after = self.after_lost_reply
            self.after_lost_reply = None
            if after is not None:
                after()
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
    """Return settings of the n-th node; failure domains rotate.

    Args:
      index: 0 to 999.
      changes: settings by name.
    """
    given = {
        'vm': f'entry-{index}',
        'host': f'10.0.{index // 250}.{index % 250 + 1}',
        'port': 8000,
        'control_port': 8001,
        'failure_domain': DOMAINS[index % len(DOMAINS)],
        'vm_list_url': 'http://10.1.0.1:80',
        'table_url': 'http://10.1.0.2:80',
        'peer_keys': PEER_KEY,
    }
    return EntrySettings.model_validate({**given, **changes})


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
    """Return the text of `manifest_document`."""
    return json.dumps(manifest_document(deployment)).encode()


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
