"""Stand-ins of the second review: store, worker, router launcher, raw client.

Only the standard library is used. Every address is a loopback address, and only
processes that were started here are signalled.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
API_HOST = 'api.example'
KEY = 'key-1'
TENANT = 'atlas'
# The settings of sites/brolga-prod.toml, as `fleetbench wire` shows them.
BOUNDS = {
    'seed-lag-s': 3, 'reuse-after-s': 2, 'contact-ms': 3000, 'ack-ms': 4000,
    'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200,
    'config-apply-ms': 2000, 'rollback-slack-ms': 250, 'outer-ms': 5000,
    'strict-revocation': False, 'revoke-ms': 5000, 'budget-ratio': 0.9,
    'budget-window-s': 10, 'budget-slack': 56, 'expose-share': 0.15,
    'expose-slack': 30, 'rollback-ms': 5000, 'recover-s': 12, 'pass-ms': 120,
    'again-s': 9.5, 'session-s': 5, 'ttl_max_s': 5,
}


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """Collects what was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.path = Path(folder) / 'record.txt'
        self.began = time.monotonic()
        self.lines = []

    def add(self, *words):
        at = time.monotonic() - self.began
        self.lines.append(f'{at:8.3f} ' + ' '.join(str(word) for word in words))

    def say(self, *words):
        self.add(*words)
        print(*words, flush=True)

    def write(self):
        self.path.write_text('\n'.join(self.lines) + '\n')


async def read_head(reader):
    """Return the first line and the headers of a message, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, content = line.partition(':')
        if colon:
            headers[name.strip().lower()] = content.strip()
    return first, headers


class Store:
    """The platform's metadata store: rows, change feeds, transactions."""

    def __init__(self):
        self.rows = {}  # (table, key): (ver, value, removed)
        self.ver = 1
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0
        self.silent = False
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, documents):
        """Write rows as the operator and the workers; None removes."""
        self.ver += 1
        for name, document in documents.items():
            table, _, key = name.partition('/')
            value = base64.b64encode(json.dumps(document).encode()).decode()
            gone = document is None
            self.rows[table, key] = (self.ver, value, gone)
        self.wake()

    def wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def document(self, name):
        row = self.rows.get(tuple(name.split('/', 1)))
        if row is None or row[2]:
            return None
        return json.loads(base64.b64decode(row[1]))

    def common(self):
        return {'ver': self.ver, 'now-ms': int(time.monotonic() * 1000)}

    @staticmethod
    def encode(key, row):
        entry = {'table': key[0], 'part': '', 'key': key[1], 'ver': row[0]}
        entry.update({'removed': True} if row[2] else {'value': row[1]})
        return entry

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                read = await read_head(reader)
                if read is None:
                    break
                method, target, _ = read[0].split(' ', 2)
                size = int(read[1].get('content-length', 0))
                body = await reader.readexactly(size) if size else b''
                await asyncio.sleep(0.004)
                while self.silent:
                    await asyncio.sleep(0.05)
                status, document = await self.answer(target, body)
                text = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(text)}\r\n\r\n'.encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, target, body):
        url = urlsplit(target)
        query = {name: item[0] for name, item in parse_qs(url.query).items()}
        if url.path == '/api/rows-tx':
            return self.transact(json.loads(body))
        if url.path == '/api/rows-get':
            return self.get(query)
        if url.path == '/api/rows-feed':
            return await self.feed(query)
        return 404, {}

    def transact(self, document):
        writes = document.get('writes', [])
        removes = document.get('remove', [])
        if any(e['table'] in {'op', 'servers'} for e in [*writes, *removes]):
            return 403, {}
        expected = document.get('expected', [])
        for entry in expected:
            row = self.rows.get((entry['table'], entry['key']))
            ver = 0 if row is None or row[2] else row[0]
            if ver != entry['ver']:
                rows = [
                    self.encode(key, self.rows[key])
                    for key in ((e['table'], e['key']) for e in expected)
                    if key in self.rows and not self.rows[key][2]
                ]
                return 412, {**self.common(), 'rows': rows}
        self.ver += 1
        for entry in writes:
            key = (entry['table'], entry['key'])
            self.rows[key] = (self.ver, entry['value'], False)
        for entry in removes:
            self.rows[entry['table'], entry['key']] = (self.ver, '', True)
        self.wake()
        return 200, self.common()

    def get(self, query):
        rows = [
            self.encode(key, row)
            for key, row in sorted(self.rows.items())
            if key[0] == query['table'] and not row[2]
            and key[1] >= query.get('from', '')
            and ('target' not in query or key[1] < query['target'])
        ]
        limit = min(500, int(query.get('limit', 500)))
        more = len(rows) > limit
        return 200, {**self.common(), 'rows': rows[:limit], 'has-more': more}

    async def feed(self, query):
        after = int(query['after'])
        deadline = time.monotonic() + int(query.get('wait-ms', 0)) / 1000
        while True:
            rows = sorted(
                (row[0], key, row)
                for key, row in self.rows.items()
                if key[0] == query['table'] and row[0] > after
            )
            left = deadline - time.monotonic()
            if rows or left <= 0:
                found = [self.encode(key, row) for _ver, key, row in rows]
                return 200, {**self.common(), 'rows': found}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue


def worker_entry(service, port, **fields):
    """Return the entry of a worker."""
    entry = {
        'service': service, 'address': f'{HOST}:{port}', 'zone': 'a',
        'version': 'v1', 'slots': 64, 'state': 'ready', 'cold-remaining-ms': 0,
        'sequence': 1, 'born': int(time.time() * 1000),
    }
    entry.update({name.replace('_', '-'): x for name, x in fields.items()})
    return entry


def route(name, kind, service, **options):
    """Return a route with the prefix /NAME/."""
    return {
        'name': name, 'hostname': API_HOST, 'prefix': f'/{name}/',
        'kind': kind, 'timeout-ms': 10000, 'target-latency-ms': 2000,
        'max-attempts': 3, 'service': service, 'priority': 1,
        **{key.replace('_', '-'): item for key, item in options.items()},
    }


def configuration(version, routes, services, **fields):
    """Return the operator's configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'max-connections': 370} for name in services
        ],
        'limits': {
            'max-header-bytes': 16384, 'max-body-bytes': 4194304,
            'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api-keys': [KEY]}],
        **fields,
    }


class Worker:
    """A sound worker: answers each request whole, and records its runs.

    `answer` gets the request's headers and its path, and returns the status,
    further headers and the body; it may wait. The worker answers 421 to a
    request that is meant for another instance, or for a model that it lacks.
    """

    def __init__(self, name, record, answer, models=()):
        self.name = name
        self.record = record
        self.answer = answer
        self.models = models  # empty: any
        self.runs = []  # ids of requests that it began to run
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while await self.serve_next(reader, writer):
                continue
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve_next(self, reader, writer):
        read = await read_head(reader)
        if read is None:
            return False
        headers = read[1]
        size = int(headers.get('content-length', 0))
        if size:
            await reader.readexactly(size)
        path = read[0].split(' ')[1]
        request_id = headers['request-id']
        model = headers.get('model', '-')
        if headers.get('expect-instance') != self.name or (
            self.models and model not in self.models
        ):
            status, extra, body = 421, {}, b''
        else:
            self.runs.append(request_id)
            self.record.add('worker', self.name, 'runs', request_id, model)
            status, extra, body = await self.answer(headers, path)
            extra = {'Server-Signature': f'{self.name}.1', **extra}
        self.record.add('worker', self.name, 'answers', request_id, status)
        lines = [f'HTTP/1.1 {status} X', f'Request-Id: {request_id}']
        lines += [f'{name}: {content}' for name, content in extra.items()]
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()
        return True


class Machine:
    """The platform's memory limit: a process that exceeds it is killed.

    Only resident memory is counted. What was received and not read yet counts
    as well on the platform, so this is on the safe side.
    """

    def __init__(self, router, record):
        self.router = router
        self.record = record
        self.limit = router.settings['limits']['memory-mb']
        self.peak = 0.0
        self.killed = False

    async def watch(self):
        while not self.killed:
            self.peak = max(self.peak, self.router.memory_mb())
            if self.peak > self.limit:
                self.killed = True
                self.record.say(
                    f'{self.router.name} uses {self.peak:.0f} MB of'
                    f' {self.limit} MB and is killed'
                )
                self.router.stop()
            await asyncio.sleep(0.02)


class Router:
    """A router process, started as the deploy file says."""

    def __init__(self, name, folder, store_port, zone='a', **settings):
        self.name = name
        self.front = free_port()
        self.ready = free_port()
        self.directory = free_port()
        self.control = free_port()
        self.metrics = free_port()
        internal = free_port(socket.SOCK_DGRAM)
        self.path = Path(folder) / f'{name}.json'
        self.log_path = Path(folder) / f'{name}.log'
        self.settings = {
            'node-name': name, 'role': 'router', 'machine-class': 'front',
            'serves': ['front', 'control', 'directory'], 'ip': HOST,
            'zone': zone, 'region': 'r', 'zones': {'a': 'r', 'b': 'r'},
            'listen': {
                'front': f'{HOST}:{self.front}',
                'ready': f'{HOST}:{self.ready}',
                'control': f'{HOST}:{self.control}',
                'directory': f'{HOST}:{self.directory}',
            },
            'internal-ports': [internal, internal],
            'seeds': [f'{HOST}:{self.control}'], 'bootstrap': True,
            'limits': {
                'cpu-share': 0.537, 'cpu-cores': 2, 'memory-mb': 300,
                'max-fds': 4100, 'link-mbps': 1000.0, 'disk-mb': 0,
            },
            'data-dir': None, 'heartbeat-ms': 1200, 'bounds': BOUNDS,
            'platform': {
                'address': f'{HOST}:{store_port}', 'form': 'table',
                'writes-per-s': 400, 'reads-per-s': 2000, 'tx-ms': 5.0,
            },
            **settings,
        }
        self.process = None

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['BRONZEGLADE_SETTINGS'] = str(self.path)
        with self.log_path.open('ab') as log:
            # The deploy file's command; the metrics port is a free one, since
            # all machines share one address here.
            self.process = subprocess.Popen(
                ['python3', '-m', 'bronzeglade.platform',
                 f'--metrics_port={self.metrics}'],
                cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, limit=30):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if await get_status(self.ready, '/api/readiness') == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{self.name} is not ready')

    def memory_mb(self, field='VmRSS'):
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith(field + ':'):
                return int(line.split()[1]) / 1024
        return 0.0

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def events(self, *names):
        found = []
        for line in self.log_path.read_text(errors='replace').splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if not names or entry.get('event') in names:
                found.append(entry)
        return found


async def get_status(port, path):
    """Return the status of a page; 0 without an answer."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, port), 1
        )
        writer.write(f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode())
        read = await asyncio.wait_for(read_head(reader), 2)
        writer.close()
        return int(read[0].split(' ')[1]) if read else 0
    except (OSError, TimeoutError):
        return 0


class Answer:
    """What a client got."""

    def __init__(self, status=0, headers=None, body=b'', complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


async def read_answer(reader):
    """Read a whole answer of the router; `complete` tells if it was whole."""
    read = await read_head(reader)
    if read is None:
        return Answer()
    answer = Answer(int(read[0].split(' ')[1]), read[1])
    try:
        if 'chunked' in answer.headers.get('transfer-encoding', ''):
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
        else:
            size = int(answer.headers.get('content-length', 0))
            answer.body = await reader.readexactly(size)
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return answer


def request_bytes(path, request_id, body=b'', method='POST', **headers):
    """Return a request as a client sends it."""
    lines = [
        f'{method} {path} HTTP/1.1', f'Host: {API_HOST}',
        f'Request-Id: {request_id}', f'Credential: {KEY}',
    ]
    named = {'Deadline_Ms': '5000', **headers}
    lines += [f'{name.replace("_", "-")}: {x}' for name, x in named.items()]
    if method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def ask(port, path, request_id, body=b'b', limit=15, **headers):
    """Send one request on a new connection; return its answer."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, port), 2
        )
    except (OSError, TimeoutError):
        return Answer()
    try:
        writer.write(request_bytes(path, request_id, body, **headers))
        return await asyncio.wait_for(read_answer(reader), limit)
    except (OSError, TimeoutError):
        return Answer()
    finally:
        writer.close()


class KeptCaller:
    """An ordinary client that keeps its connection for many requests."""

    def __init__(self, number, port, path, record):
        self.number = number
        self.port = port
        self.path = path
        self.record = record
        self.answered = {}  # status by request id
        self.cut = []  # ids of requests whose connection ended without answer

    async def run(self, seconds, pause=0.2):
        ends_at = time.monotonic() + seconds
        count = 0
        connection = None
        await asyncio.sleep(0.1 * self.number % 3)
        while time.monotonic() < ends_at:
            count += 1
            request_id = f'ordinary-{self.number}-{count}'
            try:
                if connection is None:
                    connection = await asyncio.wait_for(
                        asyncio.open_connection(HOST, self.port), 1
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(pause)
                continue
            reader, writer = connection
            answer = Answer()
            try:
                writer.write(request_bytes(self.path, request_id, b'order'))
                answer = await asyncio.wait_for(read_answer(reader), 6)
            except (OSError, TimeoutError):
                pass
            if answer.complete:
                self.answered[request_id] = answer.status
            else:
                self.cut.append(request_id)
            self.record.add('client', request_id, answer.status,
                            'answered' if answer.complete else 'cut')
            close = answer.headers.get('connection') == 'close'
            if close or not answer.complete:
                writer.close()
                connection = None
            await asyncio.sleep(pause)
        if connection is not None:
            connection[1].close()


def run_case(case, folder):
    """Run a case and exit with its result: 1 broken, 0 held, 2 not run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    routers = []
    scratch = tempfile.mkdtemp()

    def finish(code):
        for router in routers:
            router.stop()
        record.say('result', code)
        record.write()
        shutil.rmtree(scratch, ignore_errors=True)
        sys.stdout.flush()
        # Without waiting for the open connections of the stand-ins.
        os._exit(code)

    async def run():
        # The routers are ended also if this process is.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, finish, 2)
        code = 2
        try:
            broken = await asyncio.wait_for(
                case(record, trouble, scratch, routers), 105
            )
            code = 1 if broken else 0
        except Exception as error:
            record.say('the case could not run:', repr(error))
        finish(code)

    asyncio.run(run())
