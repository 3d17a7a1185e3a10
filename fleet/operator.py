"""An operator: publishes manifests and reads back what is active."""

import dataclasses
import hashlib
import json
import threading
import time
import uuid
from collections.abc import Callable, Mapping
from typing import Any

import msgpack
import urllib3
from urllib3.exceptions import HTTPError

from fleet import deployments
from fleet.history import Publication, StatusSeen, Withdrawal
from fleet.launch import Fleet, Program

CALL_S = 10.0
STATUS_S = 2.0
POLL_S = 0.5
MAX_TRIES = 3
MANIFEST_PATH = '/operator/manifest'

Document = dict[str, Any]
Change = Callable[[Document], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A publication and, when another holds the head, its generation."""

    publication: Publication
    known: bool  # whether the outcome is known
    superseded_by: int = 0


class Operator:
    """Publishes one change after another; several may work at once."""

    def __init__(self, fleet: Fleet) -> None:
        """Start from the fleet's first manifest, generation 1.

        Args:
          fleet: a started fleet.
        """
        self.fleet = fleet
        self.http = urllib3.PoolManager(maxsize=8, retries=False)
        self.lock = threading.Lock()
        self.document: Document = fleet.manifest()
        self.generation = 1
        self.publications: list[Publication] = []
        self.statuses: list[StatusSeen] = []
        self.withdrawals: list[Withdrawal] = []

    def publish(self, change: Change) -> bool:
        """Publish a change to the manifest; return whether it was accepted.

        Args:
          change: edits the document in place.
        """
        with self.lock:
            document = json.loads(json.dumps(self.document))
            replaces = self.generation
        change(document)
        publication_id = uuid.uuid4().hex
        for entry in self.fleet.entries()[:MAX_TRIES]:
            sent = self._send(entry, document, replaces, publication_id)
            self.publications.append(sent.publication)
            if sent.known:
                self._learn(sent, document)
                return sent.publication.accepted
        return False

    def withdraw(self, model: str, version: str) -> bool:
        """Withdraw a version for the rest of the run."""
        accepted = self.publish(
            lambda document: set_state(document, model, version, 'withdrawn')
        )
        if accepted:
            self.withdrawals.append(
                Withdrawal(model, version, time.time(), float('inf'))
            )
        return accepted

    def watch(self, stopped: threading.Event) -> None:
        """Record what each process reports until stopped."""
        while not stopped.wait(POLL_S):
            self.statuses.extend(self.read_all())

    def read_all(self) -> list[StatusSeen]:
        """Return what every router process reports of itself."""
        seen = [self._status(entry) for entry in self.fleet.entries()]
        return [one for one in seen if one is not None]

    def wait_until_active(self, seconds: float) -> list[StatusSeen]:
        """Wait until every process has the accepted generation.

        Args:
          seconds: limit.

        Returns:
          The last reports; generation 0 of a process that does not answer.
        """
        limit = time.monotonic() + seconds
        while True:
            last = [
                self._status(entry)
                or StatusSeen(entry.name, time.time(), 0, '')
                for entry in self.fleet.entries()
            ]
            current = all(one.generation >= self.generation for one in last)
            if current or time.monotonic() > limit:
                return last
            time.sleep(POLL_S)

    def _learn(self, sent: Sent, document: Document) -> None:
        with self.lock:
            if sent.publication.accepted:
                if sent.publication.generation > self.generation:
                    self.generation = sent.publication.generation
                    self.document = document
            elif sent.superseded_by > self.generation:
                self._read_manifest(sent.superseded_by)

    def _read_manifest(self, generation: int) -> None:
        # Another operator's document is in the table under its generation.
        row = self.fleet.table_row(f'config/generation/{generation:010d}')
        if row is not None:
            self.document = json.loads(msgpack.unpackb(row)['text'])
            self.generation = generation

    def _send(
        self,
        entry: Program,
        document: Document,
        replaces: int,
        publication_id: str,
    ) -> Sent:
        text = json.dumps(document).encode()
        digest = hashlib.sha256(text).hexdigest()
        generation = replaces + 1
        try:
            reply = self.http.request(
                'POST',
                f'http://{entry.control_address}{MANIFEST_PATH}',
                body=text,
                headers={
                    **operator_headers(),
                    'X-Replaces-Generation': str(replaces),
                    'X-Publication-Id': publication_id,
                },
                timeout=CALL_S,
            )
        except HTTPError:
            lost = Publication(generation, digest, False, time.time())
            return Sent(lost, known=False)
        content = json.loads(reply.data)
        publication = Publication(
            generation, digest, reply.status == 200, time.time()
        )
        superseded_by = 0
        if reply.status == 409:
            superseded_by = int(content.get('generation', 0))
        known = reply.status in {200, 409, 422} or _is_not_run(content)
        return Sent(publication, known, superseded_by)

    def _status(self, entry: Program) -> StatusSeen | None:
        try:
            reply = self.http.request(
                'GET',
                f'http://{entry.control_address}/operator/status?scope=node',
                headers=operator_headers(),
                timeout=STATUS_S,
            )
        except HTTPError:
            return None
        if reply.status != 200:
            return None
        for node in json.loads(reply.data)['nodes']:
            if node['vm'] == entry.name:
                return StatusSeen(
                    entry.name, time.time(), node['generation'], node['digest']
                )
        return None


def operator_headers() -> dict[str, str]:
    """Return the headers that authenticate the operator."""
    return {
        'Authorization': f'Bearer {deployments.OPERATOR_KEY}',
        'X-Operator': 'pipeline',
    }


def _is_not_run(content: Mapping[str, Any]) -> bool:
    error = content.get('error') or {}
    return error.get('run_state') == 'not_run'


def set_state(document: Document, model: str, version: str, state: str) -> None:
    """Set the state of a version in a manifest."""
    for entry in document['models']:
        for candidate in entry['versions']:
            if (entry['name'], candidate['name']) == (model, version):
                candidate['state'] = state
    if state == 'withdrawn':
        document['rollouts'] = [
            rollout
            for rollout in document['rollouts']
            if (rollout['model'], rollout['to_version']) != (model, version)
        ]


def add_rollout(model: str, from_version: str, to_version: str) -> Change:
    """Return the change that puts a short rollout into a manifest."""
    rollout = {
        'name': f'{model}-{to_version}',
        'model': model,
        'from_version': from_version,
        'to_version': to_version,
        'steps': [
            {'share': share, 'min_requests': 10, 'min_seconds': 3}
            for share in (0.1, 0.5, 1)
        ],
    }

    def change(document: Document) -> None:
        document['rollouts'] = [rollout]

    return change
