"""Stand-in for a platform worker with plain and streamed answers."""

import dataclasses
import json
import os
import sys
import time
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import eventlet
from absl import flags

from standins.faults import Faults
from standins.web import (
    address_flags,
    drop_connection,
    fault_routes,
    parse_flags,
    read_body,
    read_json,
    send_json,
    send_reply,
    serve,
)

DEFAULT_EVENT_INTERVAL_S = 0.02
DEFAULT_EVENT_COUNT = 5
LOW_CONFIDENCE_MODEL = 'small'


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A part of prompts on which the process ends, which is never the last.

    Before that, it sends what `after` names: nothing, the head of the answer,
    or the head and an event.
    """

    part: str = ''
    after: str = 'nothing'

    def end_process(self, environ: Mapping[str, Any]) -> None:
        """End the process, as it begins to answer, if the prompt holds it."""
        parts = environ.get('HTTP_PROMPT_PREFIX', '').split(',')[:-1]
        if self.part not in {part.partition(':')[0] for part in parts}:
            return
        head = (
            'HTTP/1.1 200 OK\r\nServer-Signature: s\r\nTransfer-Encoding: '
            f'chunked\r\nRequest-Id: {environ["HTTP_REQUEST_ID"]}\r\n\r\n'
        )
        event = 'id: 1\ndata: piece 1\n\n'
        sent = {
            'nothing': '',
            'head': head,
            'event': f'{head}{len(event):x}\r\n{event}\r\n',
        }
        client = environ['eventlet.input'].get_socket()
        client.sendall(sent[self.after].encode())
        os._exit(1)  # no answer is written any more, nor anything flushed


class Worker:
    """A worker that records its runs and injects faults."""

    def __init__(
        self, name: str, print_runs: bool = False, crash: 'Crash | None' = None
    ) -> None:
        """Create a worker without runs.

        Args:
          name: instance id of the worker.
          print_runs: whether to write each run to the standard output, so that
            the record survives the end of the process.
          crash: what ends the process; None for nothing.
        """
        self.name = name
        self.print_runs = print_runs
        self.crash = crash or Crash()
        self.runs: list[dict[str, Any]] = []
        self.faults = Faults(
            refuse=0,  # status 503, not executed
            fail=0,  # status 500 after the run
            lose=0,  # connection closed after the run, no answer
            cut=0,  # stream closed after two events
            work_s=0,  # time until the head of an answer in seconds
            event_interval_s=DEFAULT_EVENT_INTERVAL_S,  # between two events
            limit=0,  # requests per second named in answers; 0 names none
        )

    def handle(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Run a request and answer it."""
        body = read_body(environ)
        request_id = environ.get('HTTP_REQUEST_ID', '')
        expected = environ.get('HTTP_EXPECT_INSTANCE', self.name)
        if expected != self.name:
            start('421 Misdirected Request', [('Instance-Id', self.name)])
            return ()
        if self.faults.should_inject('refuse'):
            refusal = [('Request-Id', request_id), ('Not-Executed', '1')]
            start('503 Service Unavailable', [*refusal, *self._limit_headers()])
            return ()
        limit = self.faults.value_of('limit')
        self.runs.append(_run_record(environ, body, limit))
        if self.print_runs:
            sys.stdout.write(json.dumps(self.runs[-1]) + '\n')
            sys.stdout.flush()
        eventlet.sleep(self.faults.value_of('work_s'))
        self.crash.end_process(environ)
        headers = [
            ('Request-Id', request_id),
            ('Server-Signature', f'{self.name}.{len(self.runs)}'),
            *self._limit_headers(),
        ]
        if self.faults.should_inject('lose'):
            drop_connection(environ)
            return ()
        if self.faults.should_inject('fail'):
            start('500 Internal Server Error', headers)
            return (b'failed',)
        if 'HTTP_TOKEN_COUNT' not in environ:
            start('200 OK', [*headers, ('Content-Length', '4')])
            return (b'done',)
        model = environ.get('HTTP_MODEL', '')
        confidence = '10' if model == LOW_CONFIDENCE_MODEL else '90'
        start('200 OK', [*headers, ('Confidence', confidence)])
        return self._stream_events(environ)

    def _limit_headers(self) -> list[tuple[str, str]]:
        limit = self.faults.value_of('limit')
        return [('Server-Limit', str(limit))] if limit else []

    def _stream_events(self, environ: dict[str, Any]) -> Iterator[bytes]:
        first = int(environ.get('HTTP_LAST_EVENT_ID') or 0) + 1
        # Token-Count is `PROMPT,OUTPUT`.
        count = int(environ['HTTP_TOKEN_COUNT'].split(',')[1])
        should_cut = self.faults.should_inject('cut')
        for number in range(first, (count or DEFAULT_EVENT_COUNT) + 1):
            if should_cut and number == first + 2:
                drop_connection(environ)
                return
            eventlet.sleep(self.faults.value_of('event_interval_s'))
            yield f'id: {number}\ndata: piece {number}\n\n'.encode()


def _run_record(
    environ: Mapping[str, Any], body: bytes, limit: float
) -> dict[str, Any]:
    return {
        'id': environ.get('HTTP_REQUEST_ID', ''),
        'path': environ['PATH_INFO'],
        'query': environ.get('QUERY_STRING', ''),
        'body': body.decode('latin-1'),
        'tenant': environ.get('HTTP_TENANT'),
        'credential': environ.get('HTTP_CREDENTIAL'),
        'model': environ.get('HTTP_MODEL'),
        'deadline_ms': environ.get('HTTP_DEADLINE_MS'),
        'parts': environ.get('HTTP_PROMPT_PREFIX', ''),
        'last_event': environ.get('HTTP_LAST_EVENT_ID'),
        'at_s': time.monotonic(),
        'limit': limit,
    }


def main() -> None:
    """Run the worker process."""
    values = address_flags()
    flags.DEFINE_string('name', 'worker', 'Instance id.', flag_values=values)
    flags.DEFINE_bool(
        'print_runs', False, 'Write each run to stdout.', flag_values=values
    )
    flags.DEFINE_string(
        'crash_part', '', 'Part that ends the process.', flag_values=values
    )
    flags.DEFINE_enum(
        'crash_after',
        'nothing',
        ('nothing', 'head', 'event'),
        'What is sent of the answer before the end.',
        flag_values=values,
    )
    parse_flags(values)
    crash = Crash(values.crash_part, values.crash_after)
    worker = Worker(values.name, values.print_runs, crash)
    admin = fault_routes(worker.faults)

    def application(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        action = admin.get((environ['REQUEST_METHOD'], environ['PATH_INFO']))
        if action is not None:
            return send_reply(environ, start, action(read_json(environ)))
        if environ['PATH_INFO'] == '/admin/seen':
            return send_json(start, 200, worker.runs)
        return worker.handle(environ, start)

    serve(values.host, values.port, application)


if __name__ == '__main__':
    main()
