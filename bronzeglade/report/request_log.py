"""Collects the log messages of a request from the logs of all processes."""

import datetime as dt
import json
from collections.abc import Iterable, Iterator
from typing import Any

_OMITTED_FIELDS = frozenset(
    ('task_uuid', 'task_level', 'timestamp', 'message_type', 'action_type')
)


def select(lines: Iterable[str], request_id: str) -> list[dict[str, Any]]:
    """Return the log messages of a request, sorted by time.

    Args:
      lines: log lines of any processes; lines that are not JSON objects are
        ignored.
      request_id: identifier of the request.
    """
    selected = [
        message
        for message in _parse_lines(lines, request_id)
        if message.get('task_uuid') == request_id
    ]
    return sorted(selected, key=lambda message: message['timestamp'])


def _parse_lines(
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
    """Return a line per message: time (UTC), type and fields."""
    return ''.join(f'{_format_line(message)}\n' for message in messages)


def _format_line(message: dict[str, Any]) -> str:
    logged_at = dt.datetime.fromtimestamp(message['timestamp'], dt.UTC)
    event_type = message.get('message_type') or message.get('action_type', '')
    fields = ' '.join(
        f'{name}={field}'
        for name, field in message.items()
        if name not in _OMITTED_FIELDS
    )
    return (
        f'{logged_at:%H:%M:%S.%f} '
        f'{event_type.removeprefix("bronzeglade:")} {fields}'
    )
