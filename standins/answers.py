"""Answers that are determined by the messages, the model and the version.

An answer is `<MODEL@VERSION:QUALITY>` followed by the tokens `DIGEST-0 `,
`DIGEST-1 ` and so on, where DIGEST is made from the messages. A checker can
therefore tell whether an answer is whole and whose request it belongs to, and
the rating service can read how good it is.
"""

import dataclasses
import json
import re
from collections.abc import Mapping, Sequence
from typing import Any

import xxhash

_MARKER = re.compile('^<([^@>]+)@([^:>]+):([0-9.]+)>')
_DIGEST_LENGTH = 8
_HARD_LOSS = 0.45  # quality that an answer lacks beyond the model's skill

Messages = Sequence[Mapping[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Marker:
    """What the start of an answer says of its origin."""

    model: str
    version: str
    quality: float


def digest_of(messages: Messages) -> str:
    """Return the digest that every token of the answer carries."""
    content = [[one.get('role'), one.get('content')] for one in messages]
    text = json.dumps(content).encode()
    return xxhash.xxh64_hexdigest(text)[:_DIGEST_LENGTH]


def quality_of(messages: Messages, quality: float, skill: float) -> float:
    """Return how good the answer of a model is.

    Args:
      messages: the prompt; its digest decides how hard it is.
      quality: of answers to prompts that the model can handle.
      skill: part of all prompts that the model can handle.
    """
    spread = int(digest_of(messages)[:4], 16) / 0xFFFF
    return quality if spread <= skill else max(0, quality - _HARD_LOSS)


def tokens(messages: Messages, marker: Marker, count: int) -> list[str]:
    """Return the tokens of an answer."""
    digest = digest_of(messages)
    words = [f'{digest}-{index} ' for index in range(count)]
    start = f'<{marker.model}@{marker.version}:{marker.quality:.2f}>'
    return [start + words[0], *words[1:]] if words else []


def parse_marker(text: str) -> Marker | None:
    """Return the marker of an answer, or None when it has none."""
    match = _MARKER.match(text)
    if match is None:
        return None
    return Marker(match.group(1), match.group(2), float(match.group(3)))


def is_whole(text: str, messages: Messages, count: int) -> bool:
    """Return whether a text is the whole answer to the messages.

    Args:
      text: the answer that a caller received.
      messages: what the caller asked.
      count: tokens that the caller asked for.
    """
    marker = parse_marker(text)
    if marker is None:
        return False
    return text == ''.join(tokens(messages, marker, count))
