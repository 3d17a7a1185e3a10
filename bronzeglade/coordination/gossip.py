"""Small documents that each node sends to all others, without I/O."""

import datetime as dt
import hashlib
import random
from collections.abc import Iterable, Mapping
from typing import Any

import msgpack
from eliot import log_message

from bronzeglade.clock import Clock, SystemClock
from bronzeglade.coordination.datagram import Document
from bronzeglade.coordination.dissemination import UpdateQueue

# Maximum document in a datagram, which also carries the head and a few member
# updates. A larger document is announced there and fetched over HTTP.
MAX_INLINE_BYTES = 700
MAX_DOCUMENT_BYTES = 65_536  # larger documents are rejected
# Documents of an origin that is not a known member are kept this long, since
# the record of a new node may arrive after its documents.
UNKNOWN_ORIGIN_GRACE = dt.timedelta(seconds=30)
# Rate of changed documents that messages can carry to every node. Above it,
# newer versions displace others before these have reached all nodes.
DOCUMENT_BYTES_PER_S = 2000
DOCUMENT_OVERHEAD_BYTES = 30  # names and version
# Bound on the documents in one direction of an anti-entropy exchange. At 330
# nodes, with one exchange in 33 s, documents and versions cost about 2 KB/s.
MAX_DIFFERENCE_BYTES = 24_576
FINGERPRINT_BYTES = 6

DocumentKey = tuple[str, str]  # origin, topic
Version = tuple[bytes, int]  # fingerprint of a key, version


class Gossip:
    """Documents by topic and by the origin that owns them.

    Each node owns one document for each topic, and its highest version wins.
    Documents of dead nodes are removed.
    """

    def __init__(self, origin: str, clock: Clock | None = None) -> None:
        """Start without documents.

        Args:
          origin: unique name of this process.
          clock: only its monotonic time is used.
        """
        self.origin = origin
        self.clock = clock or SystemClock()
        self.rng = random.Random(origin)
        self.documents: dict[str, dict[str, Any]] = {}
        self.stored: dict[DocumentKey, Document] = {}
        self.received_at: dict[DocumentKey, dt.timedelta] = {}
        self.dead: set[str] = set()
        self.updates: UpdateQueue[DocumentKey] = UpdateQueue()
        self.pending: dict[DocumentKey, bytes] = {}
        self.min_publish_interval = dt.timedelta()
        self.refused_count = 0

    def publish(self, topic: str, document: Any) -> None:
        """Replace this node's document of a topic.

        A document above MAX_DOCUMENT_BYTES is rejected, and the previous one
        stays. New versions are sent at most once in `min_publish_interval`.

        Args:
          topic: name of at most 64 characters.
          document: any value that MessagePack can encode.
        """
        body: bytes = msgpack.packb(document)
        if len(body) > MAX_DOCUMENT_BYTES:
            self.refused_count += 1
            log_message('gossip:refused', topic=topic, size=len(body))
            return
        key = (self.origin, topic)
        self.documents.setdefault(topic, {})[self.origin] = document
        if key in self.stored and self.stored[key].body == body:
            self.pending.pop(key, None)
            return
        self.pending[key] = body
        self.publish_pending()

    def publish_pending(self) -> None:
        """Store pending documents whose minimum interval has passed."""
        now = self.clock.monotonic()
        for key, body in tuple(self.pending.items()):
            previous = self.stored.get(key)
            if (
                previous is None
                or now - self.received_at[key] >= self.min_publish_interval
            ):
                version = 1 if previous is None else previous.version + 1
                self._store(Document(*key, version, body))
                self.pending.pop(key)

    def limit_rate(self) -> None:
        """Set the minimum interval so that messages can carry all changes."""
        size = sum(
            DOCUMENT_OVERHEAD_BYTES + len(document.body or b'')
            for document in self.stored.values()
        )
        self.min_publish_interval = dt.timedelta(
            seconds=size / DOCUMENT_BYTES_PER_S
        )

    def read(self, topic: str) -> Mapping[str, Any]:
        """Return the documents of a topic by origin."""
        return self.documents.get(topic, {})

    def merge(self, document: Document) -> bool:
        """Store a document of another node if it is newer than the known one.

        Args:
          document: a document, or an announcement without body.

        Returns:
          Whether a newer version was announced and must be fetched.
        """
        key = (document.origin, document.topic)
        known = self.stored.get(key)
        if document.origin == self.origin or document.origin in self.dead:
            return False
        if known is not None and known.version >= document.version:
            return False
        if document.body is None:
            return True
        decoded = _decode(document.body)
        if decoded is not None:
            self.documents.setdefault(key[1], {})[key[0]] = decoded[0]
            self._store(document)
        return False

    def expire(self, live: Iterable[str], dead: Iterable[str]) -> None:
        """Remove the documents of dead and of unknown nodes.

        Args:
          live: origins of the nodes that are not dead.
          dead: origins of the dead nodes.
        """
        now = self.clock.monotonic()
        live_origins = {*live, self.origin}
        self.dead = set(dead) - live_origins
        for key in tuple(self.stored):
            grace_over = now - self.received_at[key] >= UNKNOWN_ORIGIN_GRACE
            if key[0] in self.dead or (
                key[0] not in live_origins and grace_over
            ):
                self._drop(key)

    def inline(self, key: DocumentKey) -> Document | None:
        """Return a document to put in a datagram, without body if too large."""
        document = self.stored.get(key)
        if document is None or document.body is None:
            return None
        if len(document.body) <= MAX_INLINE_BYTES:
            return document
        return Document(*key, document.version, None)

    def versions(self) -> list[Version]:
        """Return the version of each stored document, for anti-entropy."""
        return [
            (fingerprint(key), document.version)
            for key, document in self.stored.items()
        ]

    def difference(
        self, versions: Iterable[Version]
    ) -> tuple[list[Document], list[bytes]]:
        """Compare the stored documents with those of another node.

        The order is random, so that despite the size limit each document is
        exchanged eventually.

        Args:
          versions: result of `versions` on the other node.

        Returns:
          Documents that are newer here, up to MAX_DIFFERENCE_BYTES, and the
          fingerprints of those that are newer there.
        """
        remote = dict(versions)
        newer: list[Document] = []
        size = 0
        stored = list(self.stored.items())
        self.rng.shuffle(stored)
        for key, document in stored:
            version = remote.pop(fingerprint(key), 0)
            if version > document.version:
                remote[fingerprint(key)] = version
            elif version < document.version and size < MAX_DIFFERENCE_BYTES:
                newer.append(document)
                size += len(document.body or b'')
        fingerprints = list(remote)
        self.rng.shuffle(fingerprints)
        return newer, fingerprints

    def select(self, fingerprints: Iterable[bytes]) -> list[Document]:
        """Return documents by fingerprint, up to MAX_DIFFERENCE_BYTES."""
        wanted = set(fingerprints)
        found: list[Document] = []
        size = 0
        for key, document in self.stored.items():
            if size < MAX_DIFFERENCE_BYTES and fingerprint(key) in wanted:
                found.append(document)
                size += len(document.body or b'')
        return found

    def _store(self, document: Document) -> None:
        key = (document.origin, document.topic)
        self.stored[key] = document
        self.received_at[key] = self.clock.monotonic()
        self.updates.add(key)

    def _drop(self, key: DocumentKey) -> None:
        origin, topic = key
        self.stored.pop(key)
        self.received_at.pop(key)
        self.documents[topic].pop(origin, None)
        self.updates.discard(key)


def fingerprint(key: DocumentKey) -> bytes:
    """Return the hash that identifies a document in anti-entropy."""
    text = '\0'.join(key).encode()
    return hashlib.blake2b(text, digest_size=FINGERPRINT_BYTES).digest()


def _decode(body: bytes) -> tuple[Any] | None:
    if len(body) > MAX_DOCUMENT_BYTES:
        return None
    try:
        return (msgpack.unpackb(body),)
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
