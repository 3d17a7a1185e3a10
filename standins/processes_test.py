"""Tests that the stand-ins inject the faults that other tests rely on."""

import json
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3

from fleet import deployments
from fleet.launch import Fleet
from standins import answers

MESSAGES = [{'role': 'user', 'content': 'heron ' * 40}]
HTTP = urllib3.PoolManager(retries=False)

Start = Callable[..., str]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    """Return a function that starts a stand-in process and returns its URL."""
    fleet = Fleet(deployments.BROLGA, tmp_path)

    def start_module(module: str, *arguments: str) -> str:
        port = fleet.ports.allocate(1)[0]
        fleet.spawn(
            module, module, [f'standins.{module}', f'--port={port}', *arguments]
        )
        fleet.wait_until_listening()
        return f'http://127.0.0.1:{port}'

    yield start_module
    fleet.stop()


def post(
    url: str, document: Any, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    """Send JSON; return the status and the decoded response."""
    response = HTTP.request('POST', url, json=document, headers=headers)
    return response.status, json.loads(response.data)


def get(url: str) -> Any:
    """Return the decoded JSON of a page."""
    return json.loads(HTTP.request('GET', url).data)


def put(key: str) -> dict[str, Any]:
    """Return a table transaction that creates a row."""
    return {
        'checks': [{'key': key, 'version': 0}],
        'puts': [{'key': key, 'body': 'eA=='}],
        'deletes': [],
    }


# Guards against two processes that take turns in accepting on one port.
def test_port_in_use_is_an_error(tmp_path: Path) -> None:
    """A stand-in exits if another process listens on its port."""
    fleet = Fleet(deployments.BROLGA, tmp_path)
    arguments = ['standins.table', f'--port={fleet.ports.allocate(1)[0]}']
    first = fleet.spawn('first', 'first', arguments)
    try:
        fleet.wait_until_listening()
        second = fleet.spawn('second', 'second', arguments)
        assert second.process.wait(30)
        assert first.process.poll() is None
    finally:
        fleet.stop()


def test_table_faults(start: Start) -> None:
    """A lost reply keeps the write; a lost request and an outage do not."""
    table = start('table')
    post(f'{table}/faults', {'lost_replies': 1})
    with pytest.raises(urllib3.exceptions.HTTPError):
        post(f'{table}/commit', put('kept'))
    assert post(f'{table}/commit', put('kept'))[0] == 409
    post(f'{table}/faults', {'lost_requests': 1})
    with pytest.raises(urllib3.exceptions.HTTPError):
        post(f'{table}/commit', put('dropped'))
    post(f'{table}/faults', {'outage': 1})
    assert post(f'{table}/commit', put('dropped'))[0] == 503
    post(f'{table}/faults', {'reset': True})
    rows = post(f'{table}/scan', {'prefix': '', 'limit': 9})[1]['rows']
    assert [row['key'] for row in rows] == ['kept']
    many = [{'key': str(index), 'body': ''} for index in range(129)]
    large = {'checks': [], 'puts': many, 'deletes': []}
    assert post(f'{table}/commit', large)[0] == 413


def test_table_limits_writes(start: Start) -> None:
    """The write limit must apply: it exposes a router that writes too often."""
    table = start('table', '--writes=1')
    statuses = [post(f'{table}/commit', put(str(key)))[0] for key in range(9)]
    assert 429 in statuses


def test_service_drops_before_and_after_executing(start: Start) -> None:
    """Both faults look the same to a caller; only one of them executes."""
    service = start('service')
    for fault in ('drop_before', 'drop_after'):
        post(f'{service}/faults', {fault: 1})
        with pytest.raises(urllib3.exceptions.HTTPError):
            post(f'{service}/sightings', {}, {'X-Idempotency-Key': fault})
    assert get(f'{service}/executions') == {'drop_after': 1}


def complete(engine: str, count: int, resumed_from: int = 0) -> str:
    """Request a completion and return its text."""
    document = {'model': 'm@v1', 'messages': MESSAGES, 'max_tokens': count}
    response = HTTP.request(
        'POST',
        f'{engine}/v1/chat/completions',
        json=document,
        headers={'X-Resume-Tokens': str(resumed_from)},
    )
    events = [
        json.loads(line[6:])
        for line in response.data.decode().splitlines()
        if line.startswith('data: {')
    ]
    return ''.join(
        event['choices'][0]['delta'].get('content', '')
        for event in events
        if event['choices']
    )


def test_resumed_stream_continues_the_answer(start: Start) -> None:
    """A resumed answer must equal the rest of the complete answer."""
    engine = start('engine')
    full_text = complete(engine, 6)
    assert answers.is_complete_answer(full_text, MESSAGES, 6)
    rest = complete(engine, 6, resumed_from=4)
    assert rest
    assert full_text.endswith(rest)
    assert not answers.is_complete_answer(rest, MESSAGES, 6)
    assert not answers.is_complete_answer(full_text, MESSAGES, 7)
    assert not answers.is_complete_answer(full_text, [{'role': 'user'}], 6)


def send_long_completion(
    engine: str, request_id: str, priority: int
) -> socket.socket:
    """Send a request for a long completion; return its connection."""
    host, port = engine.removeprefix('http://').split(':')
    body = json.dumps(
        {'model': 'm@v1', 'messages': MESSAGES, 'max_tokens': 9000}
    )
    connection = socket.create_connection((host, int(port)))
    connection.sendall(
        (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
            f'X-Request-Id: {request_id}\r\nX-Priority: {priority}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()
    )
    return connection


def wait_for_metric(engine: str, line: str) -> None:
    """Wait until the metrics page contains a line."""
    for _attempt in range(1000):
        page = HTTP.request('GET', f'{engine}/metrics').data.decode()
        if line in page.splitlines():
            return
    pytest.fail(f'no {line!r} in {page}')


def test_disconnect_frees_the_slot_for_the_most_urgent(start: Start) -> None:
    """The slot of a disconnected client goes to the most urgent request."""
    engine = start('engine', '--slots=1')
    first = send_long_completion(engine, 'first', 1)
    wait_for_metric(engine, 'engine_requests_running 1')
    waiting = [
        send_long_completion(engine, f'rank-{rank}', rank) for rank in (2, 0, 1)
    ]
    wait_for_metric(engine, 'engine_requests_waiting 3')
    waiting.pop().close()
    wait_for_metric(engine, 'engine_requests_waiting 2')
    first.close()
    wait_for_metric(engine, 'engine_requests_waiting 1')
    assert get(f'{engine}/executed')['requests'] == ['first', 'rank-0']
    for connection in waiting:
        connection.close()
    wait_for_metric(engine, 'engine_requests_running 0')


def test_cache_is_bounded_and_reports_events(start: Start) -> None:
    """The events must report each block that is added or evicted."""
    engine = start('engine', '--cache_blocks=1')
    complete(engine, 1)
    response = get(f'{engine}/cache/events?since=0')
    actions = [event['action'] for event in response['events']]
    assert actions == ['added', 'added', 'removed']
    wait_for_metric(engine, 'engine_cached_blocks 1')
    assert get(f'{engine}/cache/events?since=3')['events'] == []


@pytest.mark.parametrize(
    ('checks_fencing', 'status'), [(True, 409), (False, 200)]
)
def test_stale_fencing_token(
    start: Start, checks_fencing: bool, status: int
) -> None:
    """Stale commands are refused only by engines that check the token."""
    engine = start(
        'engine', f'--checks_fencing={checks_fencing}', '--loaded=m@v1'
    )
    load = {'action': 'load', 'model': 'm', 'version': 'v2'}
    assert post(f'{engine}/orders', {**load, 'fencing_token': 7})[0] == 200
    unload = {**load, 'action': 'unload', 'fencing_token': 6}
    assert post(f'{engine}/orders', unload)[0] == status
    assert get(f'{engine}/orders')['highest_token'] == 7


def test_bad_version_answers_badly(start: Start) -> None:
    """A bad version gets low ratings and fails, as roll-out tests require."""
    engine = start('engine', '--loaded=m@v1')
    ratings = start('ratings', '--noise=0', '--delay=0')
    good = complete(engine, 3)
    post(f'{engine}/faults', {'bad_version': 'v1', 'bad_errors': 0})
    bad = complete(engine, 3)
    rated = [
        post(f'{ratings}/rate', {'prompt': '', 'answer': text})[1]['rating']
        for text in (good, bad)
    ]
    assert rated == [0.95, 0.3]
    post(f'{engine}/faults', {'bad_errors': -1})
    assert complete(engine, 3) == ''
