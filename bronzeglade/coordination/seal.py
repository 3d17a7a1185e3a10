"""Authentication of messages between nodes with shared keys."""

import dataclasses
import hashlib
import hmac
from collections.abc import Sequence

from result import Err, Ok, Result

TAG_BYTES = 16  # of the HMAC-SHA256
HEADER_BYTES = 1 + TAG_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class SharedKey:
    """A key that all nodes hold; `number` is 0 to 255."""

    number: int
    secret: bytes


def parse_keys(texts: Sequence[str]) -> tuple[SharedKey, ...]:
    """Read keys written as NUMBER:HEX."""
    keys = []
    for text in texts:
        number, _, digits = text.partition(':')
        keys.append(SharedKey(int(number), bytes.fromhex(digits)))
    return tuple(keys)


def seal(
    keys: Sequence[SharedKey], payload: bytes, purpose: bytes = b''
) -> bytes:
    """Return a payload with key number and tag of the first key.

    Args:
      keys: the first one signs.
      payload: what is authenticated.
      purpose: what the message is for; it is part of the tag, so a message
        for one purpose is not accepted for another.
    """
    key = keys[0]
    number = bytes((key.number,))
    return number + _tag(key, payload, purpose) + payload


def unseal(
    keys: Sequence[SharedKey], message: bytes, purpose: bytes = b''
) -> Result[bytes, str]:
    """Return the payload of an authentic message.

    Args:
      keys: each of them is accepted, so that keys can be rotated.
      message: what `seal` returned on another node.
      purpose: the one that the message was sealed for.

    Returns:
      The payload, or why the message is not authentic.
    """
    if len(message) < HEADER_BYTES:
        return Err('the message is too short')
    payload = message[HEADER_BYTES:]
    for key in keys:
        if key.number == message[0]:
            tag = message[1:HEADER_BYTES]
            if hmac.compare_digest(tag, _tag(key, payload, purpose)):
                return Ok(payload)
            return Err('the tag is wrong')
    return Err('the key is not known')


def _tag(key: SharedKey, payload: bytes, purpose: bytes) -> bytes:
    # The length of the purpose keeps it apart from the payload.
    signed = bytes((len(purpose),)) + purpose + payload
    return hmac.digest(key.secret, signed, hashlib.sha256)[:TAG_BYTES]
