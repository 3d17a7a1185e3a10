"""Stand-in of a model engine: OpenAI-compatible streaming."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import eventlet
from absl import flags
from eventlet.semaphore import Semaphore

from standins.web import parse_flags, read_json, send_json, serve

DEFAULT_TOKENS = 16


class Engine:
    """Slots and token times of one engine."""

    def __init__(
        self, slots: int, first_token_s: float, token_s: float
    ) -> None:
        """Create an idle engine.

        Args:
          slots: requests that run at the same time.
          first_token_s: seconds to the first token.
          token_s: seconds between tokens.
        """
        self.slots = Semaphore(slots)
        self.slot_count = slots
        self.first_token_s = first_token_s
        self.token_s = token_s
        self.waiting = 0
        self.executed: list[str] = []

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        """Answer a completion, the load page or the list of executions."""
        path = environ['PATH_INFO']
        if path == '/v1/chat/completions':
            document = read_json(environ)
            request_id = environ.get('HTTP_X_REQUEST_ID', 'none')
            start('200 OK', [('Content-Type', 'text/event-stream')])
            return self.stream(document, request_id)
        if path == '/metrics':
            return self._metrics(start)
        if path == '/executed':
            return send_json(start, 200, {'requests': self.executed})
        return send_json(start, 404, {})

    def stream(
        self, document: dict[str, Any], request_id: str
    ) -> Iterator[bytes]:
        """Yield the events of one completion."""
        self.waiting += 1
        with self.slots:
            self.waiting -= 1
            self.executed.append(request_id)
            yield from self._tokens(document, request_id)

    def _tokens(
        self, document: dict[str, Any], request_id: str
    ) -> Iterator[bytes]:
        limit = document.get('max_completion_tokens')
        count = limit or document.get('max_tokens') or DEFAULT_TOKENS
        prompt = sum(
            len(str(message.get('content') or '').split())
            for message in document['messages']
        )
        base = {
            'id': f'chatcmpl-{request_id}',
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': document['model'],
        }
        eventlet.sleep(self.first_token_s)
        for index in range(count):
            delta = {'role': 'assistant', 'content': f'w{index} '}
            yield event({**base, 'choices': [choice(delta, None)]})
            eventlet.sleep(self.token_s)
        yield event({**base, 'choices': [choice({}, 'stop')]})
        usage = {
            'prompt_tokens': prompt,
            'completion_tokens': count,
            'total_tokens': prompt + count,
        }
        yield event({**base, 'choices': [], 'usage': usage})
        yield b'data: [DONE]\n\n'

    def _metrics(self, start: Any) -> Iterable[bytes]:
        running = self.slot_count - self.slots.balance
        body = (
            f'engine_requests_running {max(0, running)}\n'
            f'engine_requests_waiting {self.waiting}\n'
        ).encode()
        start('200 OK', [('Content-Type', 'text/plain; version=0.0.4')])
        return (body,)


def choice(delta: dict[str, Any], finish_reason: str | None) -> dict[str, Any]:
    """Return the only choice of an event."""
    return {'index': 0, 'delta': delta, 'finish_reason': finish_reason}


def event(document: dict[str, Any]) -> bytes:
    """Return a server-sent event."""
    return b'data: ' + json.dumps(document).encode() + b'\n\n'


def main() -> None:
    """Serve one engine."""
    values = flags.FlagValues()
    flags.DEFINE_integer('port', 0, 'TCP port.', flag_values=values)
    flags.DEFINE_string('host', '127.0.0.1', 'Address.', flag_values=values)
    flags.DEFINE_integer('slots', 8, 'Running requests.', flag_values=values)
    flags.DEFINE_float(
        'first_token', 0.05, 'Seconds to the first token.', flag_values=values
    )
    flags.DEFINE_float(
        'token', 0.01, 'Seconds between tokens.', flag_values=values
    )
    parse_flags(values)
    engine = Engine(values.slots, values.first_token, values.token)
    serve(values.host, values.port, engine.application)


if __name__ == '__main__':
    main()
