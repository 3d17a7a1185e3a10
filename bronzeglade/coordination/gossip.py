"""Small documents that every node tells all others, without I/O."""

import datetime as dt
import hashlib
import random
from collections.abc import Iterable, Mapping
from typing import Any

import msgpack
from eliot import log_message

from bronzeglade.clock import Clock, SystemClock
from bronzeglade.coordination.datagram import Document
from bronzeglade.coordination.dissemination import News

# What one document may take in a datagram beside the head and a few facts;
# a larger one is announced there and fetched over HTTP.
INLINE_LIMIT = 700  # bytes
DOCUMENT_LIMIT = 65_536  # bytes; a larger document is refused
# Documents of an origin that membership does not name are kept this long:
# the fact about a new node may arrive after its documents.
UNKNOWN_ORIGIN_GRACE = dt.timedelta(seconds=30)
# Bytes a second of changed documents that reach every node through the
# messages; more would make newer versions displace others half-way.
DOCUMENT_RATE = 2000
DOCUMENT_OVERHEAD = 30  # bytes of names and version
# Bytes of documents in one anti-entropy exchange, each way. At 330 nodes,
# with one exchange in 33 s, this and the versions come to about 2 KB/s.
DIFFERENCE_LIMIT = 24_576
FINGERPRINT_BYTES = 6

Key = tuple[str, str]  # origin, topic
Version = tuple[bytes, int]  # fingerprint of a key, version


class Gossip:
    """Documents by topic and by the origin that owns them.

    Each node owns one document for each topic; the newest one wins. The
    document of a dead node disappears.
    """

    def __init__(self, origin: str, clock: Clock | None = None) -> None:
        """Know only this node.

        Args:
          origin: unique name of this process.
          clock: only its monotonic time is used.
        """
        self.origin = origin
        self.clock = clock or SystemClock()
        self.random = random.Random(origin)
        self.documents: dict[str, dict[str, Any]] = {}
        self.stored: dict[Key, Document] = {}
        self.received: dict[Key, dt.timedelta] = {}
        self.dead: set[str] = set()
        self.news: News[Key] = News()
        self.wanted: set[Key] = set()
        self.waiting: dict[Key, bytes] = {}
        self.refresh = dt.timedelta()
        self.refused = 0

    def publish(self, topic: str, document: Any) -> None:
        """Replace this node's document of a topic.

        A document above DOCUMENT_LIMIT is refused: the earlier one stays.
        Others see a document that changes often at most once each `refresh`.

        Args:
          topic: name of at most 64 characters.
          document: anything that MessagePack carries.
        """
        body: bytes = msgpack.packb(document)
        if len(body) > DOCUMENT_LIMIT:
            self.refused += 1
            log_message('gossip:refused', topic=topic, size=len(body))
            return
        key = (self.origin, topic)
        self.documents.setdefault(topic, {})[self.origin] = document
        if key in self.stored and self.stored[key].body == body:
            self.waiting.pop(key, None)
            return
        self.waiting[key] = body
        self.release()

    def release(self) -> None:
        """Pass on the documents of this node that waited for `refresh`."""
        now = self.clock.monotonic()
        for key, body in tuple(self.waiting.items()):
            before = self.stored.get(key)
            if before is None or now - self.received[key] >= self.refresh:
                version = 1 if before is None else before.version + 1
                self._store(Document(*key, version, body))
                self.waiting.pop(key)

    def limit_rate(self) -> None:
        """Set `refresh` so that changes of all documents fit the messages."""
        size = sum(
            DOCUMENT_OVERHEAD + len(document.body or b'')
            for document in self.stored.values()
        )
        self.refresh = dt.timedelta(seconds=size / DOCUMENT_RATE)

    def read(self, topic: str) -> Mapping[str, Any]:
        """Return the documents of a topic by the origin that owns them."""
        return self.documents.get(topic, {})

    def merge(self, document: Document) -> bool:
        """Take a document of a node when it is newer than what is known.

        Args:
          document: with its body, or an announcement without.

        Returns:
          Whether the body is newer and must be fetched.
        """
        key = (document.origin, document.topic)
        known = self.stored.get(key)
        if document.origin == self.origin or document.origin in self.dead:
            return False
        if known is not None and known.version >= document.version:
            return False
        if document.body is None:
            self.wanted.add(key)
            return True
        decoded = _decode(document.body)
        if decoded is not None:
            self.documents.setdefault(key[1], {})[key[0]] = decoded[0]
            self._store(document)
        return False

    def expire(self, live: Iterable[str], dead: Iterable[str]) -> None:
        """Drop the documents of nodes that are gone.

        Args:
          live: origins of the nodes that are not dead.
          dead: origins that are known to be dead.
        """
        now = self.clock.monotonic()
        named = {*live, self.origin}
        self.dead = set(dead) - named
        for key in tuple(self.stored):
            late = now - self.received[key] >= UNKNOWN_ORIGIN_GRACE
            if key[0] in self.dead or (key[0] not in named and late):
                self._drop(key)

    def inline(self, key: Key) -> Document | None:
        """Return a document as a datagram carries it."""
        document = self.stored.get(key)
        if document is None or document.body is None:
            return None
        if len(document.body) <= INLINE_LIMIT:
            return document
        return Document(*key, document.version, None)

    def versions(self) -> list[Version]:
        """Return what this node holds, for anti-entropy."""
        return [
            (fingerprint(key), document.version)
            for key, document in self.stored.items()
        ]

    def difference(
        self, versions: Iterable[Version]
    ) -> tuple[list[Document], list[bytes]]:
        """Compare with what another node holds.

        The documents are in random order, so that under the limit each is
        exchanged in time.

        Args:
          versions: what `versions` returned there.

        Returns:
          Documents that are newer here, up to DIFFERENCE_LIMIT bytes, and
          the fingerprints of those that are newer there.
        """
        theirs = dict(versions)
        newer: list[Document] = []
        size = 0
        stored = list(self.stored.items())
        self.random.shuffle(stored)
        for key, document in stored:
            version = theirs.pop(fingerprint(key), 0)
            if version > document.version:
                theirs[fingerprint(key)] = version
            elif version < document.version and size < DIFFERENCE_LIMIT:
                newer.append(document)
                size += len(document.body or b'')
        prints = list(theirs)
        self.random.shuffle(prints)
        return newer, prints

    def select(self, prints: Iterable[bytes]) -> list[Document]:
        """Return documents by fingerprint, up to DIFFERENCE_LIMIT bytes."""
        wanted = set(prints)
        found: list[Document] = []
        size = 0
        for key, document in self.stored.items():
            if size < DIFFERENCE_LIMIT and fingerprint(key) in wanted:
                found.append(document)
                size += len(document.body or b'')
        return found

    def _store(self, document: Document) -> None:
        key = (document.origin, document.topic)
        self.stored[key] = document
        self.received[key] = self.clock.monotonic()
        self.wanted.discard(key)
        self.news.add(key)

    def _drop(self, key: Key) -> None:
        origin, topic = key
        self.stored.pop(key)
        self.received.pop(key)
        self.documents[topic].pop(origin, None)
        self.news.drop(key)


def fingerprint(key: Key) -> bytes:
    """Return a short hash of a document's key."""
    text = '\0'.join(key).encode()
    return hashlib.blake2b(text, digest_size=FINGERPRINT_BYTES).digest()


def _decode(body: bytes) -> tuple[Any] | None:
    if len(body) > DOCUMENT_LIMIT:
        return None
    try:
        return (msgpack.unpackb(body),)
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
