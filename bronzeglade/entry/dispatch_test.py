"""Dispatch of chat completions: run states, slots, and version checks."""

import dataclasses
import io
import json
import socketserver
import threading
from collections.abc import Callable, Iterator
from typing import Any

import eliot
import pytest

from bronzeglade import catalog as catalogs
from bronzeglade.catalog import Configuration
from bronzeglade.coordination.head import Published
from bronzeglade.entry import chat, services
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.entry.telemetry import RequestLog
from bronzeglade.entry.trace import Trace
from bronzeglade.entry.workers import Worker
from bronzeglade.settings import EntrySettings
from fleet import deployments

HEAD = b'HTTP/1.1 %d S\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n'
CLOSED = '127.0.0.1:1'

Start = Callable[[int, bytes], str]


class _Server(socketserver.ThreadingTCPServer):
    reply = b''


class _Handler(socketserver.BaseRequestHandler):
    def handle(self) -> None:
        self.request.recv(65536)
        self.request.sendall(getattr(self.server, 'reply'))  # noqa: B009


@pytest.fixture
def engine() -> Iterator[Start]:
    """Return a function that starts an engine with a fixed reply.

    The function takes the status and the body and returns the address.
    """
    servers: list[Any] = []

    def start(status: int, events: bytes) -> str:
        server = _Server(('127.0.0.1', 0), _Handler)
        server.reply = HEAD % status + events
        threading.Thread(target=server.serve_forever, daemon=True).start()
        servers.append(server)
        return '127.0.0.1:{0}'.format(server.server_address[1])

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


def catalog_of(document: Any) -> catalogs.Catalog:
    """Return the catalog built from a manifest."""
    text = json.dumps(document).encode()
    catalog, errors = catalogs.build(Configuration(1, 'd', text))
    assert catalog is not None, errors
    return catalog


def node_with(addresses: list[str]) -> Node:
    """Return a node with one worker of `guide-small` per address."""
    settings = EntrySettings.model_validate(
        {
            'vm': 'entry-0',
            'host': '127.0.0.1',
            'port': 1,
            'control_port': 1,
            'failure_domain': 'qld-a',
            'vm_list_url': f'http://{CLOSED}',
            'table_url': f'http://{CLOSED}',
            'peer_keys': '1:00112233445566778899aabbccddeeff',
        }
    )
    node = Node(settings)
    catalog = catalog_of(deployments.manifest(deployments.BROLGA))
    node.adopt(Published(catalog.configuration, 'first', 'operator'))
    node.workers = tuple(
        Worker(
            vm=f'w{index}',
            address=address,
            failure_domain='qld-a',
            group='guide-llm-small',
            slots=8,
            resumes_streams=False,
            model='guide-small',
            versions=('v1',),
        )
        for index, address in enumerate(addresses)
    )
    node.admission.update(catalog, node.workers, ())
    return node


def respond(
    node: Node, stream: bool = False, request_trace: Trace | None = None
) -> Response:
    """Return the node's response to a chat completion."""
    body = json.dumps(
        {
            'model': 'guide-small',
            'messages': [{'role': 'user', 'content': 'hi'}],
            'stream': stream,
        }
    ).encode()
    key = deployments.api_key_of('atlas')
    environ = {
        'HTTP_AUTHORIZATION': f'Bearer {key}',
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
    }
    request = Request(
        'POST',
        chat.PATH,
        '',
        environ,
        'r1',
        request_trace or Trace('r1'),
    )
    return chat.handle(node, request)


def run_state(response: Response) -> str:
    """Return the `run_state` of a refusal."""
    error = json.loads(b''.join(response.body))['error']
    return str(error['run_state'])


def test_run_state_is_not_run_if_no_engine_accepts(engine: Start) -> None:
    """Callers may safely retry `not_run`, but not `unknown`."""
    refusing = engine(503, b'busy')
    response = respond(node_with([CLOSED, refusing]))
    assert response.status == 503
    assert run_state(response) == 'not_run'


def test_run_state_is_unknown_after_a_lost_attempt(engine: Start) -> None:
    """After a lost attempt, `not_run` could make a caller run it twice."""
    for status in (200, 500):
        broken = engine(status, b'')
        response = respond(node_with([CLOSED, broken]))
        assert response.status == 503
        assert run_state(response) == 'unknown'


# Guards against failed attempts that cannot be traced: the log had only kinds.
def test_log_tells_why_an_attempt_failed(engine: Start) -> None:
    """Refused connections, statuses and empty answers can be told apart."""
    tries: list[dict[str, Any]] = []
    eliot.add_destinations(tries.append)
    request_trace = Trace('r1')
    request_trace.log = RequestLog('r1', chat.PATH)
    for address in (CLOSED, engine(503, b'secret'), engine(200, b'')):
        respond(node_with([address]), request_trace=request_trace)
    eliot.remove_destination(tries.append)
    details = [entry['detail'] for entry in tries if 'detail' in entry]
    assert 'refused' in details[0]
    assert details[1:] == ['status 503', 'no event']


def test_rejection_by_the_engine_is_final(engine: Start) -> None:
    """A request that an engine rejects as invalid must not be retried."""
    response = respond(node_with([engine(400, b'too long')]))
    assert response.status == 400
    assert run_state(response) == 'not_run'


def test_stream_that_is_never_read_frees_its_slot(engine: Start) -> None:
    """A caller that disconnects before the first byte must not leak a slot."""
    event = json.dumps(
        {
            'id': 'chatcmpl-r1',
            'choices': [{'index': 0, 'delta': {'content': 'w0 '}}],
        }
    ).encode()
    node = node_with([engine(200, b'data: ' + event + b'\n\n')])
    response = respond(node, stream=True)
    assert response.status == 200
    assert node.routing.loads.own_requests.total() == 1
    response.body.close()  # type: ignore[attr-defined]
    assert node.routing.loads.own_requests.total() == 0
    assert node.admission.admitted == 0


def withdraw(document: Any) -> None:
    """Withdraw the version of the first model."""
    document['models'][0]['versions'][0]['state'] = 'withdrawn'


def revoke(document: Any) -> None:
    """Revoke all grants of all teams."""
    for team in document['teams']:
        team['grants'] = []


@pytest.mark.parametrize('change', [withdraw, revoke])
def test_version_refused_since_the_check_receives_nothing(
    engine: Start, change: Callable[[Any], None]
) -> None:
    """A version may be withdrawn or revoked while the request is queued."""
    node = node_with([engine(200, b'')])
    admit = node.admission.admit

    def publish(*arguments: Any, **options: Any) -> Any:
        document = deployments.manifest(deployments.BROLGA)
        change(document)
        node.catalog = catalog_of(document)
        return admit(*arguments, **options)

    node.admission.admit = publish  # type: ignore[method-assign]
    response = respond(node)
    assert response.status == 503
    assert run_state(response) == 'not_run'


def test_node_with_too_many_requests_refuses_before_reading() -> None:
    """Reading and validating excess requests would saturate the CPU."""
    node = node_with([CLOSED])
    node.open_requests = chat.MAX_OPEN_REQUESTS + 1
    request = Request('POST', '/v1/chat/completions', '', {}, 'r1')
    response = chat.handle(node, request)
    assert response.status == 503
    assert run_state(response) == 'not_run'
    assert response.headers['Retry-After'] == '2'


class _KeepingServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    connections = 0


class _KeepingHandler(socketserver.BaseRequestHandler):
    def handle(self) -> None:
        setattr(  # noqa: B010
            self.server,
            'connections',
            getattr(self.server, 'connections') + 1,  # noqa: B009
        )
        refusal = b'HTTP/1.1 503 S\r\nContent-Length: 4\r\n\r\nbusy'
        received = b''
        while block := self.request.recv(65536):
            received += block
            if received.endswith(b'}'):
                received = b''
                self.request.sendall(refusal)


@pytest.fixture
def keeping() -> Iterator[_KeepingServer]:
    """Return a server that refuses each request and keeps connections."""
    server = _KeepingServer(('127.0.0.1', 0), _KeepingHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


def test_refusal_is_not_read_as_the_reply_to_the_next_request(
    keeping: _KeepingServer,
) -> None:
    """An engine may repeat it on a kept connection; it names no request."""
    node = node_with(['127.0.0.1:{0}'.format(keeping.server_address[1])])
    for _ in range(2):
        assert run_state(respond(node)) == 'not_run'
    assert keeping.connections == 2


def test_error_of_a_service_is_not_read_as_the_reply_to_the_next_call(
    keeping: _KeepingServer,
) -> None:
    """A service may repeat it on a kept connection; it names no call."""
    node = node_with(['127.0.0.1:{0}'.format(keeping.server_address[1])])
    node.workers = tuple(
        dataclasses.replace(worker, model=None, service='sightings')
        for worker in node.workers
    )
    key = deployments.api_key_of('atlas')
    for number in range(2):
        environ = {
            'HTTP_AUTHORIZATION': f'Bearer {key}',
            'CONTENT_LENGTH': '2',
            'wsgi.input': io.BytesIO(b'{}'),
        }
        path = '/services/sightings/sightings'
        request = Request('POST', path, '', environ, f'r{number}')
        assert services.handle(node, request).status == 503
    assert keeping.connections == 2
