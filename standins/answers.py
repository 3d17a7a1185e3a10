"""Deterministic answers of the simulated engines.

An answer is `<MODEL@VERSION:QUALITY>` followed by the tokens `DIGEST-0 `,
`DIGEST-1 ` and so on, where DIGEST is a hash of the messages. A checker can
verify from it that an answer is complete and belongs to its request, and the
rating service reads the quality from it.
"""

import dataclasses
import json
import re
from collections.abc import Mapping, Sequence
from typing import Any

import xxhash

_MARKER = re.compile('^<([^@>]+)@([^:>]+):([0-9.]+)>')
_DIGEST_LENGTH = 8
# Reduction of quality for prompts that are too difficult for the model.
_HARD_PROMPT_PENALTY = 0.45

Messages = Sequence[Mapping[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Marker:
    """Origin and quality of an answer, encoded at its start."""

    model: str
    version: str
    quality: float


def prompt_digest(messages: Messages) -> str:
    """Return the digest that each token of the answer contains."""
    content = [
        [message.get('role'), message.get('content')] for message in messages
    ]
    text = json.dumps(content).encode()
    return xxhash.xxh64_hexdigest(text)[:_DIGEST_LENGTH]


def answer_quality(messages: Messages, quality: float, skill: float) -> float:
    """Return the quality of a model's answer to a prompt.

    Args:
      messages: the prompt; its difficulty is derived from its digest.
      quality: quality of answers to prompts within the model's skill.
      skill: fraction of all prompts that the model can handle.
    """
    difficulty = int(prompt_digest(messages)[:4], 16) / 0xFFFF
    return (
        quality
        if difficulty <= skill
        else max(0, quality - _HARD_PROMPT_PENALTY)
    )


def tokens(messages: Messages, marker: Marker, count: int) -> list[str]:
    """Return the tokens of an answer; the first one starts with the marker."""
    digest = prompt_digest(messages)
    token_texts = [f'{digest}-{index} ' for index in range(count)]
    marker_text = f'<{marker.model}@{marker.version}:{marker.quality:.2f}>'
    return (
        [marker_text + token_texts[0], *token_texts[1:]] if token_texts else []
    )


def parse_marker(text: str) -> Marker | None:
    """Parse the marker of an answer, or return None without a marker."""
    match = _MARKER.match(text)
    if match is None:
        return None
    return Marker(match.group(1), match.group(2), float(match.group(3)))


def is_complete_answer(text: str, messages: Messages, count: int) -> bool:
    """Return whether a text is the complete answer to the messages.

    Args:
      text: the answer that a caller received.
      messages: the prompt.
      count: requested number of tokens.
    """
    marker = parse_marker(text)
    if marker is None:
        return False
    return text == ''.join(tokens(messages, marker, count))
