"""Stand-in for a model engine with OpenAI-compatible streaming."""

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
from standins.orders import CommandState, LoadedVersion
from standins.prefix import PrefixCache
from standins.web import (
    Reply,
    address_flags,
    fault_routes,
    is_client_disconnected,
    parse_flags,
    read_json,
    send_json,
    serve,
)

DEFAULT_TOKENS = 16
SNAPSHOT_INTERVAL_S = 0.05
MAX_SNAPSHOTS = 1200  # one minute at SNAPSHOT_INTERVAL_S
FOREIGN_ID = 'chatcmpl-of-another-request'
DEFINE_FLAG_BY_TYPE: Final[Mapping[Any, Callable[..., Any]]] = {
    int: flags.DEFINE_integer,
    float: flags.DEFINE_float,
    bool: flags.DEFINE_boolean,
}


class StreamAbortedError(Exception):
    """Aborts a stream before its final events; the connection closes."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Speeds and sizes of one engine; times are in seconds.

    Each field is also a command-line flag, see `flag_name`. The function
    `answers.answer_quality` explains `quality` and `skill`.
    """

    slots: int = 8
    first_token_s: float = 0.05
    token_s: float = 0.01
    batch_growth: float = 0.5  # a full batch takes 1.5 times `token_s`
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
    """Record of a request that was given a slot, as `/executed` lists it."""

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
class CompletionRequest:
    """A parsed completion request."""

    execution: Execution
    messages: answers.Messages
    hashes: list[str]
    prompt_token_count: int
    token_count: int
    environ: Mapping[str, Any]


class Engine:
    """A simulated engine: batch, prefix cache, load report and commands."""

    def __init__(
        self, settings: EngineSettings, loaded: Iterable[LoadedVersion] = ()
    ) -> None:
        """Create an idle engine.

        Args:
          settings: speeds and sizes.
          loaded: versions in memory; empty means that every version is served.
        """
        self.settings = settings
        self.batch = Batch(settings.slots)
        self.commands = CommandState(
            set(loaded), settings.checks_fencing, settings.load_s
        )
        self.executions: list[Execution] = []
        self.snapshots: collections.deque[tuple[float, str]] = (
            collections.deque(maxlen=MAX_SNAPSHOTS)
        )
        self.faults = Faults(
            errors=0,  # status 500, not executed
            hang_s=0,  # additional delay before the first token
            slowdown=1,  # factor on prefill and token times
            cut_streams=0,  # connection dropped after half of the tokens
            crossed=0,  # second half of the stream is of another request
            report_lag_s=settings.report_lag_s,
            event_lag_s=settings.event_lag_s,
            event_loss=0,  # fraction of cache events that is never delivered
            # Version that fails, answers slowly and with low quality:
            bad_version='',
            bad_errors=0.3,
            bad_slowdown=3,
            bad_quality=0.3,
        )
        self.cache = PrefixCache(settings.cache_blocks, self.faults.rng)
        self.actions = {
            **fault_routes(self.faults),
            ('POST', '/orders'): self.commands.execute,
            ('GET', '/orders'): self.commands.read,
            ('GET', '/executed'): self._list_executions,
            ('POST', '/kv/export'): self._export_blocks,
            ('POST', '/kv/import'): self._import_blocks,
        }

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        """Serve completions, metrics, cache events, commands and faults."""
        document = read_json(environ)
        path = environ['PATH_INFO']
        if path == '/v1/chat/completions':
            return self._handle_completion(environ, start, document)
        if path == '/metrics':
            start('200 OK', [('Content-Type', 'text/plain; version=0.0.4')])
            return (self.report().encode(),)
        if path == '/cache/events':
            query = parse_qs(environ.get('QUERY_STRING', ''))
            since = int(query.get('since', ['0'])[0])
            events = self.cache.events_since(
                since, self.faults.value_of('event_lag_s')
            )
            size = self.settings.block_tokens
            return send_json(start, 200, {**events, 'block_tokens': size})
        action = self.actions.get((environ['REQUEST_METHOD'], path))
        reply = action(document) if action else (404, {})
        return send_json(start, *reply)

    def report(self) -> str:
        """Return the load report of `report_lag_s` ago as Prometheus text."""
        lag_s = self.faults.value_of('report_lag_s')
        cutoff = time.monotonic() - lag_s
        visible = [text for at, text in self.snapshots if at <= cutoff]
        if not lag_s or not self.snapshots:
            return self._render_load_report()
        return visible[-1] if visible else self.snapshots[0][1]

    def take_snapshots(self) -> None:
        """Record the load report periodically; never returns."""
        while True:
            self.snapshots.append(
                (time.monotonic(), self._render_load_report())
            )
            eventlet.sleep(SNAPSHOT_INTERVAL_S)

    def _handle_completion(
        self, environ: dict[str, Any], start: Any, document: dict[str, Any]
    ) -> Iterable[bytes]:
        request = self._parse_request(environ, document)
        eventlet.sleep(self.settings.one_way_s)
        model, version = request.execution.model, request.execution.version
        if not self.commands.is_loaded(model, version):
            message = f'{model}@{version} is not loaded'
            return send_json(start, 404, {'error': {'message': message}})
        is_bad = self._is_bad_version(version)
        if self.faults.should_inject('errors') or (
            is_bad and self.faults.should_inject('bad_errors')
        ):
            message = 'the engine failed'
            return send_json(start, 500, {'error': {'message': message}})
        start('200 OK', [('Content-Type', 'text/event-stream')])
        return self._stream(request)

    def _parse_request(
        self, environ: dict[str, Any], document: dict[str, Any]
    ) -> CompletionRequest:
        model, _, version = document['model'].partition('@')
        messages = document['messages']
        tokens = prefix.prompt_tokens(messages)
        max_tokens = document.get('max_completion_tokens')
        execution = Execution(
            request_id=environ.get('HTTP_X_REQUEST_ID', 'none'),
            model=model,
            version=version,
            team=environ.get('HTTP_X_TEAM'),
            priority=int(environ.get('HTTP_X_PRIORITY') or 1),
            resumed_from=int(environ.get('HTTP_X_RESUME_TOKENS') or 0),
            received_at=time.time(),
        )
        return CompletionRequest(
            execution,
            messages,
            prefix.block_hashes(tokens, self.settings.block_tokens),
            len(tokens),
            max_tokens or document.get('max_tokens') or DEFAULT_TOKENS,
            environ,
        )

    def _stream(self, request: CompletionRequest) -> Iterator[bytes]:
        execution = request.execution
        has_slot = self.batch.acquire_slot(
            execution.priority,
            lambda: is_client_disconnected(request.environ),
            lambda: self._record_start(execution),
        )
        if not has_slot:
            return
        try:
            yield from self._generate_chunks(request)
        finally:
            self.batch.release_slot()

    def _record_start(self, execution: Execution) -> None:
        execution.started_at = time.time()
        self.executions.append(execution)

    def _generate_chunks(self, request: CompletionRequest) -> Iterator[bytes]:
        execution = request.execution
        eventlet.sleep(self._first_token_delay_s(request))
        self.cache.add(request.hashes, self.faults.value_of('event_loss'))
        midpoint = request.token_count // 2
        abort_at = (
            midpoint
            if self.faults.should_inject('cut_streams')
            else request.token_count
        )
        swap_at = (
            midpoint
            if self.faults.should_inject('crossed')
            else request.token_count
        )
        chunk = self._chunk(request)
        token_texts = answers.tokens(
            request.messages, self._marker(request), request.token_count
        )
        for index in range(execution.resumed_from, request.token_count):
            if index >= abort_at or is_client_disconnected(request.environ):
                raise StreamAbortedError(execution.request_id)
            if index == swap_at:
                chunk = {**chunk, 'id': FOREIGN_ID}
                token_texts = [
                    f'foreign-{position} '
                    for position in range(request.token_count)
                ]
            execution.tokens = index + 1
            delta = {'role': 'assistant', 'content': token_texts[index]}
            yield sse_event({**chunk, 'choices': [chunk_choice(delta, None)]})
            eventlet.sleep(self._inter_token_s(execution.version))
        yield sse_event({**chunk, 'choices': [chunk_choice({}, 'stop')]})
        yield sse_event({**chunk, 'choices': [], 'usage': self._usage(request)})
        execution.finished = True
        yield b'data: [DONE]\n\n'

    def _chunk(self, request: CompletionRequest) -> dict[str, Any]:
        execution = request.execution
        return {
            'id': f'chatcmpl-{execution.request_id}',
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': f'{execution.model}@{execution.version}',
        }

    def _usage(self, request: CompletionRequest) -> dict[str, Any]:
        return {
            'prompt_tokens': request.prompt_token_count,
            'completion_tokens': request.token_count,
            'total_tokens': request.prompt_token_count + request.token_count,
        }

    def _marker(self, request: CompletionRequest) -> Marker:
        execution = request.execution
        quality = answers.answer_quality(
            request.messages, self.settings.quality, self.settings.skill
        )
        if self._is_bad_version(execution.version):
            quality = self.faults.value_of('bad_quality')
        return Marker(execution.model, execution.version, quality)

    def _first_token_delay_s(self, request: CompletionRequest) -> float:
        uncached_count = len(request.hashes) - self.cache.match_prefix(
            request.hashes
        )
        prefill_s = (
            self.settings.first_token_s + uncached_count * self.settings.block_s
        )
        factor = self._slowdown(request.execution.version)
        return (
            prefill_s * factor
            + self.settings.one_way_s
            + self.faults.value_of('hang_s')
        )

    def _inter_token_s(self, version: str) -> float:
        growth = 1 + self.settings.batch_growth * self.batch.load
        return self.settings.token_s * growth * self._slowdown(version)

    def _slowdown(self, version: str) -> float:
        factor = self.faults.value_of('slowdown')
        if self._is_bad_version(version):
            factor *= self.faults.value_of('bad_slowdown')
        return factor

    def _is_bad_version(self, version: str) -> bool:
        return bool(version) and self.faults.values['bad_version'] == version

    def _list_executions(self, _document: Mapping[str, Any]) -> Reply:
        return 200, {
            'requests': [execution.request_id for execution in self.executions],
            'executions': [
                dataclasses.asdict(execution) for execution in self.executions
            ],
        }

    def _export_blocks(self, document: Mapping[str, Any]) -> Reply:
        cached = [
            block for block in document['blocks'] if block in self.cache.blocks
        ]
        return 200, {'blocks': cached}

    def _import_blocks(self, document: Mapping[str, Any]) -> Reply:
        self.cache.add(document['blocks'], self.faults.value_of('event_loss'))
        return 200, {'cached_blocks': len(self.cache.blocks)}

    def _render_load_report(self) -> str:
        gauges = {
            'engine_requests_running': self.batch.running,
            'engine_requests_waiting': self.batch.waiting,
            'engine_slots': self.batch.slots,
            'engine_cached_blocks': len(self.cache.blocks),
            'engine_cache_capacity_blocks': self.cache.capacity,
        }
        lines = [f'{name} {number}' for name, number in gauges.items()]
        lines.extend(
            f'engine_loaded{{model="{item.model}",version="{item.version}"}} 1'
            for item in self.commands.loaded
        )
        return '\n'.join([*lines, ''])


def chunk_choice(
    delta: dict[str, Any], finish_reason: str | None
) -> dict[str, Any]:
    """Return the single choice of a completion chunk."""
    return {'index': 0, 'delta': delta, 'finish_reason': finish_reason}


def sse_event(document: dict[str, Any]) -> bytes:
    """Encode a document as a server-sent event."""
    return b'data: ' + json.dumps(document).encode() + b'\n\n'


def main() -> None:
    """Run the engine process."""
    values = address_flags()
    for field in dataclasses.fields(EngineSettings):
        define = DEFINE_FLAG_BY_TYPE[field.type]
        name = flag_name(field.name)
        define(name, field.default, field.name, flag_values=values)
    flags.DEFINE_list(
        'loaded', [], 'Versions in memory: MODEL@VERSION.', flag_values=values
    )
    parse_flags(values)
    settings = {
        field.name: getattr(values, flag_name(field.name))
        for field in dataclasses.fields(EngineSettings)
    }
    loaded = [LoadedVersion(*name.split('@')) for name in values.loaded]
    engine = Engine(EngineSettings(**settings), loaded)
    eventlet.spawn(engine.take_snapshots)
    serve(values.host, values.port, engine.application)


def flag_name(field: str) -> str:
    """Return the flag name of a setting: the field without `_s`."""
    return field.removesuffix('_s')


if __name__ == '__main__':
    main()
