"""The log of one request, from the log files of several processes."""

import datetime as dt
import json
from collections.abc import Iterable, Iterator
from typing import Any

_HIDDEN = frozenset(
    ('task_uuid', 'task_level', 'timestamp', 'message_type', 'action_type')
)


def select(lines: Iterable[str], request_id: str) -> list[dict[str, Any]]:
    """Return the messages of a request in order of time.

    Args:
      lines: log lines of any processes; other lines are passed over.
      request_id: identity of the request.
    """
    found = [
        message
        for message in _messages(lines, request_id)
        if message.get('task_uuid') == request_id
    ]
    return sorted(found, key=lambda message: message['timestamp'])


def _messages(
    lines: Iterable[str], request_id: str
) -> Iterator[dict[str, Any]]:
    for line in lines:
        if request_id not in line:
            continue
        try:
            message = json.loads(line)
        except ValueError:
            continue
        if isinstance(message, dict):
            yield message


def to_text(messages: Iterable[dict[str, Any]]) -> str:
    """Return one line a message: time, type and fields."""
    return ''.join(f'{_line(message)}\n' for message in messages)


def _line(message: dict[str, Any]) -> str:
    at = dt.datetime.fromtimestamp(message['timestamp'], dt.UTC)
    kind = message.get('message_type') or message.get('action_type', '')
    fields = ' '.join(
        f'{name}={field}'
        for name, field in message.items()
        if name not in _HIDDEN
    )
    return f'{at:%H:%M:%S.%f} {kind.removeprefix("bronzeglade:")} {fields}'
