"""Callers of a soak run: threads that send requests and record the answers."""

from http import client
import itertools
import random
import threading
import time
from collections.abc import Mapping

from fleet.platform import API_HOST
from fleet.ports import HOST
from fleet.soak_rules import CHAT, EVENT_COUNT, ORDER, READ, CallerRecord

DEADLINES_S = (1.0, 2.0, 4.0)
LONG_DEADLINE_S = 8.0  # of streams
# Numbers of events of streams; the longest take 4 seconds.
EVENT_COUNTS = (EVENT_COUNT, EVENT_COUNT, 100, 200)
TIMEOUT_SLACK_S = 5.0  # socket timeout beyond the deadline of the request
MEAN_PAUSE_S = 0.03
KINDS = (READ, READ, ORDER, ORDER, CHAT)


class Callers:
    """Threads that send requests to the routers until `stop` is called.

    Each thread keeps connections open and reuses them.
    """

    def __init__(
        self,
        seed: int,
        count: int,
        ports: Mapping[str, int],
        keys: tuple[str, ...],
    ) -> None:
        """Create the threads.

        Args:
          seed: seed of the requests.
          count: number of threads.
          ports: port of each router, by its name.
          keys: API keys to choose from; a repeated key is chosen more often.
        """
        self.ports = ports
        self.keys = keys
        self.records: list[CallerRecord] = []
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(
                target=self._send_until_stopped, args=(seed, caller)
            )
            for caller in range(count)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Wait for the requests in flight, then end the threads."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _send_until_stopped(self, seed: int, caller: int) -> None:
        rng = random.Random(seed * 1000 + caller)
        connections: dict[str, client.HTTPConnection] = {}
        for number in itertools.count():
            if self.stopped.wait(rng.uniform(0, 2 * MEAN_PAUSE_S)):
                return
            router = rng.choice(sorted(self.ports))
            record = self._send_request(
                rng, router, connections, f'{caller}-{number}'
            )
            self.records.append(record)

    def _send_request(
        self,
        rng: random.Random,
        router: str,
        connections: dict[str, client.HTTPConnection],
        request_id: str,
    ) -> CallerRecord:
        kind = rng.choice(KINDS)
        deadline_s = rng.choice(DEADLINES_S)
        events = rng.choice(EVENT_COUNTS)
        if kind == CHAT and events > EVENT_COUNT:
            deadline_s = LONG_DEADLINE_S
        headers = {
            'Host': API_HOST,
            'Request-Id': request_id,
            'Credential': rng.choice(self.keys),
            'Deadline-Ms': str(int(deadline_s * 1000)),
        }
        if kind == CHAT:
            headers['Token-Count'] = f'40,{events}'
            headers['Model'] = '*'
        connection = connections.pop(router, None)
        if connection is None:
            connection = client.HTTPConnection(HOST, self.ports[router])
        connection.timeout = deadline_s + TIMEOUT_SLACK_S
        sent_s = time.monotonic()
        status, answer_id, signature, body, complete = 0, '', '', b'', False
        try:
            connection.request('POST', f'/{kind}/x', request_id, headers)
            answer = connection.getresponse()
            status = answer.status
            answer_id = answer.headers.get('Request-Id', '')
            signature = answer.headers.get('Server-Signature', '')
            body = answer.read()
            complete = True
            if not answer.will_close:
                connections[router] = connection
        except client.IncompleteRead as error:
            body = error.partial
        except (OSError, client.HTTPException):
            # The record states that no complete answer was received.
            connection.close()
        return CallerRecord(
            request_id,
            kind,
            router,
            headers['Credential'],
            sent_s,
            time.monotonic(),
            deadline_s,
            status,
            answer_id,
            signature,
            body.decode(),
            complete,
            events=events,
        )
