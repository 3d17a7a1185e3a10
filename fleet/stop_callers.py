"""Callers that use the directory and keep connections open."""

from http import client
import itertools
import random
import select
import threading
import time

import urllib3

from fleet.planned_stop_rule import Exchange
from fleet.platform import API_HOST, API_KEY, PlatformFleet
from fleet.ports import HOST

CHAT, READ, ORDER = 'chat', 'read', 'order'
RESUMED = 'resumed'  # a stream from the middle on
KINDS = (CHAT, CHAT, CHAT, RESUMED, READ, ORDER)
LIMIT_S = 10.0
# Socket timeout beyond the time limit of the request.
_TIMEOUT_SLACK_S = 5.0
_CONNECT_TIMEOUT_S = 1.0
_MAX_EVENTS = 60
_RESUME_AFTER = 2  # id of the last event that a resuming caller has
_DIRECTORY_AGES_S = (1, 3)  # time to live, and thrice that
_MAX_PAUSE_S = 0.2
_READ_BYTES = 65536
_OK = 200


def open_connection(port: int) -> client.HTTPConnection | None:
    """Connect to a router; return None if it refuses."""
    connection = client.HTTPConnection(HOST, port, timeout=_CONNECT_TIMEOUT_S)
    try:
        connection.connect()
    except OSError:
        return None
    connection.timeout = LIMIT_S + _TIMEOUT_SLACK_S
    connection.sock.settimeout(connection.timeout)
    return connection


def is_closed(connection: client.HTTPConnection) -> bool:
    """Return whether the router has closed an idle connection."""
    # `select.select` fails for descriptors above 1023.
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return bool(poller.poll(0))


def send(
    connection: client.HTTPConnection,
    router: str,
    request_id: str,
    kind: str = CHAT,
    events: int = 1,
    kept: bool = False,
) -> tuple[Exchange, bool]:
    """Send a request and read its answer.

    Args:
      connection: an open connection to the router.
      router: name of the router.
      request_id: id of the request.
      kind: kind of the request, see `KINDS`.
      events: number of events of a stream.
      kept: whether the connection has served a request before.

    Returns:
      The request with its answer, and whether the connection stays open.
    """
    is_stream = kind in {CHAT, RESUMED}
    headers = _headers(request_id, kind, events)
    sent_s = time.monotonic()
    answer: client.HTTPResponse | None = None
    blocks: list[bytes] = []
    error = ''
    try:
        connection.request(
            'POST', f'/{CHAT if is_stream else kind}/x', 'b', headers
        )
        sent_s = time.monotonic()
        answer = connection.getresponse()
        while block := answer.read1(_READ_BYTES):
            blocks.append(block)
        answer.read()  # raises an error if the answer is incomplete
    except (OSError, client.HTTPException) as failure:
        error = repr(failure)
    received = b''.join(blocks).count(b'id: ')
    status = 0 if answer is None else answer.status
    expected = int(is_stream) * (events - _first_event(kind))
    exchange = Exchange(
        request_id,
        kind,
        router,
        kept,
        sent_s,
        time.monotonic(),
        LIMIT_S,
        status,
        received,
        complete=not error and (status != _OK or received == expected),
        error=error,
    )
    stays_open = not error and answer is not None and not answer.will_close
    if not stays_open:
        connection.close()
    return exchange, stays_open


def _first_event(kind: str) -> int:
    """Return the id of the last event that the caller already has."""
    return _RESUME_AFTER if kind == RESUMED else 0


def _headers(request_id: str, kind: str, events: int) -> dict[str, str]:
    headers = {
        'Host': API_HOST,
        'Request-Id': request_id,
        'Credential': API_KEY,
        'Deadline-Ms': str(int(LIMIT_S * 1000)),
    }
    if kind in {CHAT, RESUMED}:
        headers.update({'Token-Count': f'10,{events}', 'Model': 'large'})
    if kind == RESUMED:
        headers['Last-Event-Id'] = str(_RESUME_AFTER)
    return headers


class StopCallers:
    """Threads that send requests to the listed routers until `stop`.

    Half of them keep a connection for as long as it works; the others open one
    for each request.
    """

    def __init__(self, fleet: PlatformFleet, seed: int, count: int) -> None:
        """Create the threads.

        Args:
          fleet: the routers, which must not change during the run.
          seed: seed of the requests.
          count: number of threads.
        """
        self.fleet = fleet
        self.names = {
            f'{HOST}:{router.callers}': router.name
            for router in fleet.routers.values()
        }
        self.exchanges: list[Exchange] = []
        self.unconnected = 0
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(seed, number))
            for number in range(count)
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

    def _run(self, seed: int, caller: int) -> None:
        rng = random.Random(seed * 1000 + caller)
        max_age_s = float(rng.choice(_DIRECTORY_AGES_S))
        keeps = caller % 2 == 0
        routers: list[str] = []
        asked_s = -max_age_s
        connection: client.HTTPConnection | None = None
        router = ''
        for number in itertools.count():
            if self.stopped.wait(rng.uniform(0, _MAX_PAUSE_S)):
                return
            if connection is not None and is_closed(connection):
                connection.close()
                connection = None
            kept = connection is not None
            if connection is None:
                if not routers or time.monotonic() - asked_s > max_age_s:
                    asked_s = time.monotonic()
                    routers = self._listed(rng)
                if not routers:
                    continue
                router = rng.choice(routers)
                connection = open_connection(self.fleet.routers[router].callers)
            if connection is None:
                self.unconnected += 1
                continue
            exchange, stays_open = send(
                connection,
                router,
                f'{caller}-{number}',
                rng.choice(KINDS),
                rng.randint(_RESUME_AFTER + 1, _MAX_EVENTS),
                kept,
            )
            self.exchanges.append(exchange)
            if not (keeps and stays_open):
                connection.close()
                connection = None

    def _listed(self, rng: random.Random) -> list[str]:
        """Return the routers that the directory of any router lists."""
        asked = rng.choice(sorted(self.fleet.routers))
        try:
            addresses = self.fleet.listed_addresses(asked)
        except urllib3.exceptions.HTTPError:
            return []
        return sorted(self.names[address] for address in addresses)
