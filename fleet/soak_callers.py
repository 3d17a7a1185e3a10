"""Callers of a soak: threads that keep connections and note what they get."""

from http import client
import itertools
import random
import threading
import time
from collections.abc import Mapping

from fleet.platform import API_HOST
from fleet.ports import HOST
from fleet.soak_rules import CHAT, EVENTS, ORDER, READ, Asked

DEADLINES_S = (1.0, 2.0, 4.0)
GIVE_UP_S = 5.0  # beyond the deadline
PAUSE_S = 0.03
KINDS = (READ, READ, ORDER, ORDER, CHAT)


class Callers:
    """Threads that ask routers until they are told to stop."""

    def __init__(
        self,
        seed: int,
        count: int,
        ports: Mapping[str, int],
        keys: tuple[str, ...],
    ) -> None:
        """Create threads.

        Args:
          seed: of what they ask.
          count: of threads.
          ports: where each router is asked, by its name.
          keys: the keys that are used, one as often as it is named.
        """
        self.ports = ports
        self.keys = keys
        self.asked: list[Asked] = []
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._ask_on, args=(seed, number))
            for number in range(count)
        ]

    def start(self) -> None:
        """Begin to ask."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the requests that are under way."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _ask_on(self, seed: int, number: int) -> None:
        source = random.Random(seed * 1000 + number)
        connections: dict[str, client.HTTPConnection] = {}
        for turn in itertools.count():
            if self.stopped.wait(source.uniform(0, 2 * PAUSE_S)):
                return
            router = source.choice(sorted(self.ports))
            asked = self._ask(source, router, connections, f'{number}-{turn}')
            self.asked.append(asked)

    def _ask(
        self,
        source: random.Random,
        router: str,
        connections: dict[str, client.HTTPConnection],
        request_id: str,
    ) -> Asked:
        kind = source.choice(KINDS)
        key = source.choice(self.keys)
        deadline_s = source.choice(DEADLINES_S)
        headers = {
            'Host': API_HOST,
            'Request-Id': request_id,
            'Credential': key,
            'Deadline-Ms': str(int(deadline_s * 1000)),
        }
        if kind == CHAT:
            headers['Token-Count'] = f'40,{EVENTS}'
            headers['Model'] = '*'
        connection = connections.pop(router, None)
        if connection is None:
            connection = client.HTTPConnection(HOST, self.ports[router])
        connection.timeout = deadline_s + GIVE_UP_S
        sent_s = time.monotonic()
        status, answered, signature, body, whole = 0, '', '', b'', False
        try:
            connection.request('POST', f'/{kind}/x', request_id, headers)
            answer = connection.getresponse()
            status = answer.status
            answered = answer.headers.get('Request-Id', '')
            signature = answer.headers.get('Server-Signature', '')
            body = answer.read()
            whole = True
            if not answer.will_close:
                connections[router] = connection
        except client.IncompleteRead as error:
            body = error.partial
        except (OSError, client.HTTPException):
            # The caller knows no more than that there was no whole answer.
            connection.close()
        return Asked(
            request_id,
            kind,
            router,
            key,
            sent_s,
            time.monotonic(),
            deadline_s,
            status,
            answered,
            signature,
            body.decode(),
            whole,
        )
