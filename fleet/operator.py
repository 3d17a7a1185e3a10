"""An operator that publishes manifests and reads the active configuration."""

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
from fleet.history import Publication, ReportedStatus, Withdrawal
from fleet.launch import Fleet, Program

REQUEST_TIMEOUT_S = 10.0
STATUS_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.5
MAX_ATTEMPTS = 3
MANIFEST_PATH = '/operator/manifest'

Document = dict[str, Any]
Change = Callable[[Document], None]


@dataclasses.dataclass(frozen=True, slots=True)
class PublishAttempt:
    """The result of sending a publication through one entry process.

    `outcome_known` is false if the request may or may not have taken effect.
    `superseded_by` is the current generation if another operator published
    first, else 0.
    """

    publication: Publication
    outcome_known: bool
    superseded_by: int = 0


class Operator:
    """Publishes changes to the manifest and records the outcomes.

    Several operators may publish concurrently.
    """

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
        self.statuses: list[ReportedStatus] = []
        self.withdrawals: list[Withdrawal] = []
        # Candidates whose roll-out may be halted by injected faults.
        self.halts: list[Withdrawal] = []

    def publish(self, change: Change) -> bool:
        """Publish a change to the manifest.

        Sends the same publication id through other entry processes while the
        outcome is unknown.

        Args:
          change: edits the document in place.

        Returns:
          Whether the change was accepted; False also if the outcome is unknown.
        """
        with self.lock:
            document = json.loads(json.dumps(self.document))
            replaces = self.generation
        change(document)
        publication_id = uuid.uuid4().hex
        for entry in self.fleet.entries()[:MAX_ATTEMPTS]:
            attempt = self._send(entry, document, replaces, publication_id)
            self.publications.append(attempt.publication)
            if attempt.outcome_known:
                self._update_document(attempt, document)
                return attempt.publication.accepted
        return False

    def withdraw(self, model: str, version: str) -> bool:
        """Withdraw a version for the rest of the run.

        Returns:
          Whether the change was accepted.
        """
        accepted = self.publish(
            lambda document: set_version_state(
                document, model, version, 'withdrawn'
            )
        )
        if accepted:
            self.withdrawals.append(
                Withdrawal(model, version, time.time(), float('inf'))
            )
        return accepted

    def record_statuses(self, stopped: threading.Event) -> None:
        """Record the reported status of each process until stopped."""
        while not stopped.wait(POLL_INTERVAL_S):
            self.statuses.extend(self.read_statuses())

    def read_statuses(self) -> list[ReportedStatus]:
        """Return the reported status of each process that answers."""
        statuses = [self._read_status(entry) for entry in self.fleet.entries()]
        return [status for status in statuses if status is not None]

    def wait_until_active(self, seconds: float) -> list[ReportedStatus]:
        """Wait until every process reports the accepted generation.

        Args:
          seconds: time limit.

        Returns:
          The last reported statuses; generation 0 for a process that does not
          answer.
        """
        deadline = time.monotonic() + seconds
        while True:
            statuses = [
                self._read_status(entry)
                or ReportedStatus(entry.name, time.time(), 0, '')
                for entry in self.fleet.entries()
            ]
            all_current = all(
                status.generation >= self.generation for status in statuses
            )
            if all_current or time.monotonic() > deadline:
                return statuses
            time.sleep(POLL_INTERVAL_S)

    def _update_document(
        self, attempt: PublishAttempt, document: Document
    ) -> None:
        with self.lock:
            if attempt.publication.accepted:
                if attempt.publication.generation > self.generation:
                    self.generation = attempt.publication.generation
                    self.document = document
            elif attempt.superseded_by > self.generation:
                self._read_document(attempt.superseded_by)

    def _read_document(self, generation: int) -> None:
        # The table holds the documents of all operators, by generation.
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
    ) -> PublishAttempt:
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
                timeout=REQUEST_TIMEOUT_S,
            )
        except HTTPError:
            unconfirmed = Publication(generation, digest, False, time.time())
            return PublishAttempt(unconfirmed, outcome_known=False)
        content = json.loads(reply.data)
        publication = Publication(
            generation, digest, reply.status == 200, time.time()
        )
        superseded_by = 0
        if reply.status == 409:
            superseded_by = int(content.get('generation', 0))
        outcome_known = reply.status in {200, 409, 422} or _is_not_run(content)
        return PublishAttempt(publication, outcome_known, superseded_by)

    def _read_status(self, entry: Program) -> ReportedStatus | None:
        try:
            reply = self.http.request(
                'GET',
                f'http://{entry.control_address}/operator/status?scope=node',
                headers=operator_headers(),
                timeout=STATUS_TIMEOUT_S,
            )
        except HTTPError:
            return None
        if reply.status != 200:
            return None
        for node in json.loads(reply.data)['nodes']:
            if node['vm'] == entry.name:
                return ReportedStatus(
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


def set_version_state(
    document: Document, model: str, version: str, state: str
) -> None:
    """Set the state of a version in a manifest.

    Withdrawing a version also removes its roll-outs.
    """
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


def rollout_change(model: str, from_version: str, to_version: str) -> Change:
    """Return a change that replaces all roll-outs by a single short one."""
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
