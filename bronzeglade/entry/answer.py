"""An answer on its way: identity and completeness are checked."""

from collections.abc import Iterator, Mapping
from typing import Any

from bronzeglade.adapters.engine import Chunk, EngineStream
from bronzeglade.coordination.bill import Usage

ID_PREFIX = 'chatcmpl-'


class Answer:
    """A stream of one request, from the first event to the last.

    Events that carry the finish reason or the usage are held back, so that
    the caller sees the end only when the request is billed.
    """

    def __init__(self, stream: EngineStream, request_id: str) -> None:
        """Wrap an open stream.

        Args:
          stream: stream of the engine.
          request_id: identity that every event must carry.
        """
        self.stream = stream
        self.identity = ID_PREFIX + request_id
        self.source = stream.chunks()
        self.first: Chunk | None = None
        self.held: list[Chunk] = []
        self.text: list[str] = []
        self.tokens = 0
        self.reported: Mapping[str, int] | None = None
        self.finish_reason: str | None = None
        self.model = ''
        self.created = 0
        self.crossed = False

    @property
    def complete(self) -> bool:
        """Whether the answer arrived whole, with its usage."""
        return (
            self.stream.complete
            and not self.crossed
            and self.finish_reason is not None
            and self.reported is not None
        )

    def read_first(self) -> bool:
        """Wait for the first event; return whether it belongs here."""
        self.first = next(self.source, None)
        return self.first is not None and self._belongs(self.first)

    def body(self) -> Iterator[bytes]:
        """Yield the events before the end, as the engine wrote them."""
        if self.first is not None:
            yield from self._take(self.first)
        for chunk in self.source:
            if not self._belongs(chunk):
                self.crossed = True
                return
            yield from self._take(chunk)

    def ending(self, with_usage: bool) -> Iterator[bytes]:
        """Yield the events that were held back.

        Args:
          with_usage: whether the caller asked for the usage.
        """
        for chunk in self.held:
            if chunk.content['choices'] or with_usage:
                yield chunk.raw

    def usage(self) -> Usage:
        """Return the tokens of the request, as far as they are known."""
        reported = self.reported or {}
        return Usage(
            prompt_tokens=reported.get('prompt_tokens', 0),
            completion_tokens=reported.get('completion_tokens', self.tokens),
        )

    def document(self) -> dict[str, Any]:
        """Return the whole answer as a chat.completion object."""
        usage = self.usage()
        total = usage.prompt_tokens + usage.completion_tokens
        return {
            'id': self.identity,
            'object': 'chat.completion',
            'created': self.created,
            'model': self.model,
            'choices': [
                {
                    'index': 0,
                    'message': {
                        'role': 'assistant',
                        'content': ''.join(self.text),
                    },
                    'finish_reason': self.finish_reason,
                    'logprobs': None,
                }
            ],
            'usage': {
                'prompt_tokens': usage.prompt_tokens,
                'completion_tokens': usage.completion_tokens,
                'total_tokens': total,
            },
        }

    def close(self) -> None:
        """End the stream; an unfinished request is cancelled."""
        self.source.close()  # type: ignore[attr-defined]
        self.stream.close()

    def _belongs(self, chunk: Chunk) -> bool:
        return chunk.content.get('id') == self.identity

    def _take(self, chunk: Chunk) -> Iterator[bytes]:
        content = chunk.content
        self.model = content.get('model', self.model)
        self.created = content.get('created', self.created)
        usage = content.get('usage')
        if usage:
            self.reported = usage
        choices = content['choices']
        if not choices:
            self.held.append(chunk)
            return
        delta = choices[0]['delta'].get('content')
        if delta:
            self.tokens += 1
            self.text.append(delta)
        if choices[0].get('finish_reason'):
            self.finish_reason = choices[0]['finish_reason']
            self.held.append(chunk)
            return
        yield chunk.raw
