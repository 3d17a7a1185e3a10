"""Assembles the tool calls of an answer from the events of its stream."""

from collections.abc import Iterable, Mapping
from typing import Any


def merge(deltas: Iterable[Mapping[str, Any]]) -> list[dict[str, Any]]:
    """Merge streamed deltas into complete tool calls.

    Args:
      deltas: the `tool_calls` items of all events, in order. Names and
        arguments with the same index are concatenated.

    Returns:
      The calls in the format of a chat.completion object, sorted by index.
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
        fragment = delta.get('function') or {}
        function = call['function']
        function['name'] += fragment.get('name') or ''
        function['arguments'] += fragment.get('arguments') or ''
    return [calls[index] for index in sorted(calls)]


def _empty_function() -> dict[str, str]:
    return {'name': '', 'arguments': ''}
