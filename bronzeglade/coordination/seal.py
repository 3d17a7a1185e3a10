"""Authentication of messages between nodes by HMAC with shared keys."""

import dataclasses
import hashlib
import hmac
from collections.abc import Sequence

from result import Err, Ok, Result

TAG_BYTES = 16  # prefix of the HMAC-SHA256
HEADER_BYTES = 1 + TAG_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class SharedKey:
    """A key shared by all nodes; `number` identifies it (0 to 255)."""

    number: int
    secret: bytes


def parse_keys(texts: Sequence[str]) -> tuple[SharedKey, ...]:
    """Parse keys in the form NUMBER:HEX."""
    keys = []
    for text in texts:
        number, _, digits = text.partition(':')
        keys.append(SharedKey(int(number), bytes.fromhex(digits)))
    return tuple(keys)


def seal(
    keys: Sequence[SharedKey], payload: bytes, purpose: bytes = b''
) -> bytes:
    """Return a payload prefixed with the key number and the tag.

    Args:
      keys: shared keys; the first one signs.
      payload: content to authenticate.
      purpose: use of the message. The tag covers it, so a message for one
        purpose is not accepted for another.
    """
    key = keys[0]
    number = bytes((key.number,))
    return number + _tag(key, payload, purpose) + payload


def unseal(
    keys: Sequence[SharedKey], message: bytes, purpose: bytes = b''
) -> Result[bytes, str]:
    """Verify a message and return its payload.

    Args:
      keys: shared keys; all are accepted, so that keys can be rotated.
      message: result of `seal` on another node.
      purpose: expected purpose of the message.

    Returns:
      The payload, or why the verification failed.
    """
    if len(message) < HEADER_BYTES:
        return Err('message is shorter than its header')
    payload = message[HEADER_BYTES:]
    for key in keys:
        if key.number == message[0]:
            tag = message[1:HEADER_BYTES]
            if hmac.compare_digest(tag, _tag(key, payload, purpose)):
                return Ok(payload)
            return Err('authentication tag does not match')
    return Err('unknown key number')


def _tag(key: SharedKey, payload: bytes, purpose: bytes) -> bytes:
    # The length prefix separates the purpose from the payload unambiguously.
    signed = bytes((len(purpose),)) + purpose + payload
    return hmac.digest(key.secret, signed, hashlib.sha256)[:TAG_BYTES]
