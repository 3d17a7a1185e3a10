"""Tool calls of an answer, put together from the events of its stream."""

from collections.abc import Iterable, Mapping
from typing import Any


def merge(deltas: Iterable[Mapping[str, Any]]) -> list[dict[str, Any]]:
    """Return the tool calls that a sequence of deltas describes.

    Args:
      deltas: members of `tool_calls` of each event, in order; arguments that
        belong to one index are concatenated.

    Returns:
      The calls as a chat.completion object holds them, in order of index.
    """
    calls: dict[int, dict[str, Any]] = {}
    for delta in deltas:
        index = int(delta.get('index', 0))
        call = calls.setdefault(
            index,
            {'id': '', 'type': 'function', 'function': _empty_function()},
        )
        call['id'] = delta.get('id') or call['id']
        call['type'] = delta.get('type') or call['type']
        given = delta.get('function') or {}
        function = call['function']
        function['name'] += given.get('name') or ''
        function['arguments'] += given.get('arguments') or ''
    return [calls[index] for index in sorted(calls)]


def _empty_function() -> dict[str, str]:
    return {'name': '', 'arguments': ''}
