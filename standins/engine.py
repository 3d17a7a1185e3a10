"""Stand-in of a model engine: OpenAI-compatible streaming."""

import collections
import dataclasses
import json
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Final
from urllib.parse import parse_qs

import eventlet
from absl import flags

from standins import answers, prefix
from standins.answers import Marker
from standins.batch import Batch
from standins.faults import Faults
from standins.orders import Loaded, Orders
from standins.prefix import PrefixCache
from standins.web import (
    Reply,
    address_flags,
    fault_routes,
    has_client_left,
    parse_flags,
    read_json,
    send_json,
    serve,
)

DEFAULT_TOKENS = 16
SNAPSHOT_S = 0.05
SNAPSHOTS_KEPT = 1200  # one minute
FOREIGN_ID = 'chatcmpl-of-another-request'
DEFINE_FLAG: Final[Mapping[Any, Callable[..., Any]]] = {
    int: flags.DEFINE_integer,
    float: flags.DEFINE_float,
    bool: flags.DEFINE_boolean,
}


class CutStreamError(Exception):
    """Ends a stream without its last part."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Speeds and sizes of one engine; times in seconds."""

    slots: int = 8
    first_token_s: float = 0.05
    token_s: float = 0.01
    batch_growth: float = 0.5  # a full batch has 1.5 times the token time
    block_tokens: int = 16
    block_s: float = 0.002  # prefill time of a block that is not cached
    cache_blocks: int = 4096
    one_way_s: float = 0
    report_lag_s: float = 0
    event_lag_s: float = 0
    load_s: float = 0
    checks_fencing: bool = True
    quality: float = 0.95
    skill: float = 1


@dataclasses.dataclass(slots=True)
class Execution:
    """A request that got a slot."""

    request_id: str
    model: str
    version: str
    team: str | None
    priority: int
    resumed_from: int
    received_at: float
    started_at: float = 0
    tokens: int = 0
    finished: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A checked completion request."""

    execution: Execution
    messages: answers.Messages
    hashes: list[str]
    prompt: int
    count: int
    environ: Mapping[str, Any]


class Engine:
    """One engine: batch, cache, load report and commands."""

    def __init__(
        self, settings: EngineSettings, loaded: Iterable[Loaded] = ()
    ) -> None:
        """Create an idle engine.

        Args:
          settings: speeds and sizes.
          loaded: versions in memory; any is served when none is named.
        """
        self.settings = settings
        self.batch = Batch(settings.slots)
        self.orders = Orders(
            set(loaded), settings.checks_fencing, settings.load_s
        )
        self.executions: list[Execution] = []
        self.snapshots: collections.deque[tuple[float, str]] = (
            collections.deque(maxlen=SNAPSHOTS_KEPT)
        )
        self.faults = Faults(
            errors=0,  # 500, not executed
            hang_s=0,  # delay before the first token
            slowdown=1,  # factor of all token times
            cut_streams=0,  # connection dropped half-way
            crossed=0,  # the stream turns into that of another request
            report_lag_s=settings.report_lag_s,
            event_lag_s=settings.event_lag_s,
            event_loss=0,  # share of cache events that are never delivered
            bad_version='',  # the version that has become bad, with:
            bad_errors=0.3,
            bad_slowdown=3,
            bad_quality=0.3,
        )
        self.cache = PrefixCache(settings.cache_blocks, self.faults.random)
        self.actions = {
            **fault_routes(self.faults),
            ('POST', '/orders'): self.orders.order,
            ('GET', '/orders'): self.orders.read,
            ('GET', '/executed'): self._executed,
            ('POST', '/kv/export'): self._export,
            ('POST', '/kv/import'): self._import,
        }

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        """Answer a completion or one of the engine's other pages."""
        document = read_json(environ)
        path = environ['PATH_INFO']
        if path == '/v1/chat/completions':
            return self._complete(environ, start, document)
        if path == '/metrics':
            start('200 OK', [('Content-Type', 'text/plain; version=0.0.4')])
            return (self.report().encode(),)
        if path == '/cache/events':
            query = parse_qs(environ.get('QUERY_STRING', ''))
            since = int(query.get('since', ['0'])[0])
            events = self.cache.events_since(
                since, self.faults.level('event_lag_s')
            )
            size = self.settings.block_tokens
            return send_json(start, 200, {**events, 'block_tokens': size})
        action = self.actions.get((environ['REQUEST_METHOD'], path))
        reply = action(document) if action else (404, {})
        return send_json(start, *reply)

    def report(self) -> str:
        """Return the load page as it was before the settable lag."""
        lag = self.faults.level('report_lag_s')
        latest = time.monotonic() - lag
        old = [text for at, text in self.snapshots if at <= latest]
        if not lag or not self.snapshots:
            return self._load()
        return old[-1] if old else self.snapshots[0][1]

    def take_snapshots(self) -> None:
        """Keep the load page of the last minute, for ever."""
        while True:
            self.snapshots.append((time.monotonic(), self._load()))
            eventlet.sleep(SNAPSHOT_S)

    def _complete(
        self, environ: dict[str, Any], start: Any, document: dict[str, Any]
    ) -> Iterable[bytes]:
        job = self._job(environ, document)
        eventlet.sleep(self.settings.one_way_s)
        model, version = job.execution.model, job.execution.version
        if not self.orders.is_loaded(model, version):
            message = f'{model}@{version} is not loaded'
            return send_json(start, 404, {'error': {'message': message}})
        bad = self._is_bad(version)
        if self.faults.strikes('errors') or (
            bad and self.faults.strikes('bad_errors')
        ):
            message = 'the engine failed'
            return send_json(start, 500, {'error': {'message': message}})
        start('200 OK', [('Content-Type', 'text/event-stream')])
        return self._stream(job)

    def _job(self, environ: dict[str, Any], document: dict[str, Any]) -> Job:
        model, _, version = document['model'].partition('@')
        messages = document['messages']
        words = prefix.prompt_tokens(messages)
        limit = document.get('max_completion_tokens')
        execution = Execution(
            request_id=environ.get('HTTP_X_REQUEST_ID', 'none'),
            model=model,
            version=version,
            team=environ.get('HTTP_X_TEAM'),
            priority=int(environ.get('HTTP_X_PRIORITY') or 1),
            resumed_from=int(environ.get('HTTP_X_RESUME_TOKENS') or 0),
            received_at=time.time(),
        )
        return Job(
            execution,
            messages,
            prefix.block_hashes(words, self.settings.block_tokens),
            len(words),
            limit or document.get('max_tokens') or DEFAULT_TOKENS,
            environ,
        )

    def _stream(self, job: Job) -> Iterator[bytes]:
        execution = job.execution
        has_slot = self.batch.enter(
            execution.priority, lambda: has_client_left(job.environ)
        )
        if not has_slot:
            return
        try:
            execution.started_at = time.time()
            self.executions.append(execution)
            yield from self._events(job)
        finally:
            self.batch.leave()

    def _events(self, job: Job) -> Iterator[bytes]:
        execution = job.execution
        eventlet.sleep(self._prefill_s(job))
        self.cache.add(job.hashes, self.faults.level('event_loss'))
        half = job.count // 2
        cut_at = half if self.faults.strikes('cut_streams') else job.count
        cross_at = half if self.faults.strikes('crossed') else job.count
        base = self._base(job)
        texts = answers.tokens(job.messages, self._marker(job), job.count)
        for index in range(execution.resumed_from, job.count):
            if index >= cut_at or has_client_left(job.environ):
                raise CutStreamError(execution.request_id)
            if index == cross_at:
                base = {**base, 'id': FOREIGN_ID}
                texts = [f'foreign-{place} ' for place in range(job.count)]
            execution.tokens = index + 1
            delta = {'role': 'assistant', 'content': texts[index]}
            yield event({**base, 'choices': [choice(delta, None)]})
            eventlet.sleep(self._token_s(execution.version))
        yield event({**base, 'choices': [choice({}, 'stop')]})
        yield event({**base, 'choices': [], 'usage': self._usage(job)})
        execution.finished = True
        yield b'data: [DONE]\n\n'

    def _base(self, job: Job) -> dict[str, Any]:
        execution = job.execution
        return {
            'id': f'chatcmpl-{execution.request_id}',
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': f'{execution.model}@{execution.version}',
        }

    def _usage(self, job: Job) -> dict[str, Any]:
        return {
            'prompt_tokens': job.prompt,
            'completion_tokens': job.count,
            'total_tokens': job.prompt + job.count,
        }

    def _marker(self, job: Job) -> Marker:
        execution = job.execution
        quality = answers.quality_of(
            job.messages, self.settings.quality, self.settings.skill
        )
        if self._is_bad(execution.version):
            quality = self.faults.level('bad_quality')
        return Marker(execution.model, execution.version, quality)

    def _prefill_s(self, job: Job) -> float:
        missing = len(job.hashes) - self.cache.matched(job.hashes)
        prefill = self.settings.first_token_s + missing * self.settings.block_s
        slow = self._slowdown(job.execution.version)
        return (
            prefill * slow
            + self.settings.one_way_s
            + self.faults.level('hang_s')
        )

    def _token_s(self, version: str) -> float:
        growth = 1 + self.settings.batch_growth * self.batch.load
        return self.settings.token_s * growth * self._slowdown(version)

    def _slowdown(self, version: str) -> float:
        slow = self.faults.level('slowdown')
        if self._is_bad(version):
            slow *= self.faults.level('bad_slowdown')
        return slow

    def _is_bad(self, version: str) -> bool:
        return bool(version) and self.faults.values['bad_version'] == version

    def _executed(self, _document: Mapping[str, Any]) -> Reply:
        return 200, {
            'requests': [one.request_id for one in self.executions],
            'executions': [dataclasses.asdict(one) for one in self.executions],
        }

    def _export(self, document: Mapping[str, Any]) -> Reply:
        held = [
            block for block in document['blocks'] if block in self.cache.blocks
        ]
        return 200, {'blocks': held}

    def _import(self, document: Mapping[str, Any]) -> Reply:
        self.cache.add(document['blocks'], self.faults.level('event_loss'))
        return 200, {'cached_blocks': len(self.cache.blocks)}

    def _load(self) -> str:
        gauges = {
            'engine_requests_running': self.batch.running,
            'engine_requests_waiting': self.batch.waiting,
            'engine_slots': self.batch.slots,
            'engine_cached_blocks': len(self.cache.blocks),
            'engine_cache_capacity_blocks': self.cache.capacity,
        }
        lines = [f'{name} {number}' for name, number in gauges.items()]
        lines.extend(
            f'engine_loaded{{model="{one.model}",version="{one.version}"}} 1'
            for one in self.orders.loaded
        )
        return '\n'.join([*lines, ''])


def choice(delta: dict[str, Any], finish_reason: str | None) -> dict[str, Any]:
    """Return the only choice of an event."""
    return {'index': 0, 'delta': delta, 'finish_reason': finish_reason}


def event(document: dict[str, Any]) -> bytes:
    """Return a server-sent event."""
    return b'data: ' + json.dumps(document).encode() + b'\n\n'


def main() -> None:
    """Serve one engine."""
    values = address_flags()
    for field in dataclasses.fields(EngineSettings):
        define = DEFINE_FLAG[field.type]
        name = flag_name(field.name)
        define(name, field.default, field.name, flag_values=values)
    flags.DEFINE_list(
        'loaded', [], 'Versions in memory: MODEL@VERSION.', flag_values=values
    )
    parse_flags(values)
    given = {
        field.name: getattr(values, flag_name(field.name))
        for field in dataclasses.fields(EngineSettings)
    }
    loaded = [Loaded(*name.split('@')) for name in values.loaded]
    engine = Engine(EngineSettings(**given), loaded)
    eventlet.spawn(engine.take_snapshots)
    serve(values.host, values.port, engine.application)


def flag_name(field: str) -> str:
    """Return the flag of a setting: its name without the unit."""
    return field.removesuffix('_s')


if __name__ == '__main__':
    main()
