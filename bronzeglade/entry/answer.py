"""An answer on its way: identity and completeness are checked."""

import json
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import pydantic_core

from bronzeglade.adapters.engine import EngineStream
from bronzeglade.coordination.bill import Usage
from bronzeglade.entry import tools

ID_PREFIX = 'chatcmpl-'
_QUOTE = b'"'
_SPECIAL = re.compile(rb'["\\\x00-\x1f]')  # what JSON text escapes
MAX_RESUMES = 2  # of one answer; each one prefills the prompt again

Reopen = Callable[[int], EngineStream | None]


class Answer:
    """A stream of one request, from the first event to the last.

    Events that carry the finish reason or the usage are held back, so that
    the caller sees the end only when the request is billed.
    """

    def __init__(
        self,
        stream: EngineStream,
        request_id: str,
        reopen: Reopen | None = None,
    ) -> None:
        """Wrap an open stream.

        Args:
          stream: stream of the engine.
          request_id: identity that every event must carry.
          reopen: opens the rest of a cut stream after a number of tokens;
            None when the endpoint group does not resume streams.
        """
        self.stream = stream
        self.identity = ID_PREFIX + request_id
        self.source = stream.batches()
        self.reopen = reopen
        self.resumes = 0
        self.first = b''
        self.held: list[tuple[bytes, bool]] = []
        self.held_tokens = 0
        self.text: list[str] = []
        self.calls: list[tuple[int, Mapping[str, Any]]] = []
        self.tokens = 0
        self.reported: Mapping[str, int] | None = None
        self.finish_reason: str | None = None
        self.model = ''
        self.created = 0
        self.mismatched = False
        self.pattern = Pattern()

    @property
    def complete(self) -> bool:
        """Whether the answer arrived whole, with its usage."""
        return (
            self.stream.complete
            and not self.mismatched
            and self.finish_reason is not None
            and self._counts_agree()
        )

    def read_first(self) -> bool:
        """Wait for the first events; return whether they belong here."""
        batch = next(self.source, None)
        if batch is None:
            return False
        self.first = self._take_all(batch)
        return not self.mismatched

    def body(self) -> Iterator[bytes]:
        """Yield the events before the end, framed as server-sent events.

        Events that arrived together are yielded together. A cut stream is
        resumed on another worker when the endpoint group allows it.
        """
        if self.first:
            yield self.first
        yield from self._rest()
        while not self.complete and self._resume():
            yield from self._rest()

    def ending(self, with_usage: bool) -> Iterator[bytes]:
        """Yield the events that were held back, framed.

        Args:
          with_usage: whether the caller asked for the usage.
        """
        for payload, has_choices in self.held:
            if has_choices or with_usage:
                yield frame(payload)

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
                    'message': self._message(),
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

    def _message(self) -> dict[str, Any]:
        content = ''.join(self.text)
        if not self.calls:
            return {'role': 'assistant', 'content': content}
        return {
            'role': 'assistant',
            'content': content or None,
            'tool_calls': tools.merge(call for _token, call in self.calls),
        }

    def close(self) -> None:
        """End the stream; an unfinished request is cancelled."""
        self.source.close()  # type: ignore[attr-defined]
        self.stream.close()

    def _counts_agree(self) -> bool:
        # An engine that resumes streams counts one token an event, so a lost
        # event shows as a difference. Other engines may put several tokens
        # into an event, but never fewer than one.
        if self.reported is None:
            return False
        expected = self.reported.get('completion_tokens', -1)
        if self.reopen is None:
            return self.tokens <= expected
        return self.tokens == expected

    def _rest(self) -> Iterator[bytes]:
        for batch in self.source:
            events = self._take_all(batch)
            if events:
                yield events
            if self.mismatched:
                return

    def _resume(self) -> bool:
        # More tokens than reported cannot be repaired: they are delivered.
        finished = self.stream.complete and not self.mismatched
        if self.reopen is None or finished or self.resumes >= MAX_RESUMES:
            return False
        self.resumes += 1
        self.close()
        stream = self.reopen(self.tokens - self.held_tokens)
        if stream is None:
            return False
        self.stream = stream
        self.source = stream.batches()
        self.mismatched = False
        self._drop_held()
        return True

    def _drop_held(self) -> None:
        # The resumed stream sends them again.
        if self.held_tokens:
            del self.text[-self.held_tokens :]
        self.tokens -= self.held_tokens
        self.calls = [call for call in self.calls if call[0] <= self.tokens]
        self.held_tokens = 0
        self.held = []
        self.reported = None
        self.finish_reason = None

    def _take_all(self, batch: list[bytes]) -> bytes:
        framed: list[bytes] = []
        for payload in batch:
            text = self.pattern.text_of(payload)
            if text is not None:
                self.tokens += 1
                self.text.append(text)
                framed.append(frame(payload))
                continue
            event = _decode(payload)
            if event is None or event.get('id') != self.identity:
                self.mismatched = True
                break
            if self._take(payload, event):
                self.pattern.learn(payload, event)
                framed.append(frame(payload))
        return b''.join(framed)

    def _take(self, payload: bytes, event: Mapping[str, Any]) -> bool:
        self.model = event.get('model', self.model)
        self.created = event.get('created', self.created)
        self.reported = event.get('usage') or self.reported
        choices = event['choices']
        if not choices:
            self.held.append((payload, False))
            return False
        delta = choices[0]['delta']
        self.finish_reason = choices[0].get('finish_reason')
        held = self.finish_reason is not None
        if any(delta[key] for key in delta if key != 'role'):
            self.tokens += 1
            self.held_tokens += held
            self.text.append(delta.get('content') or '')
            self.calls.extend(
                (self.tokens, call) for call in delta.get('tool_calls') or ()
            )
        if held:
            self.held.append((payload, True))
        return not held


class Pattern:
    """The bytes around the text of a token event.

    The events of one answer differ only in their text. An event that has the
    same bytes before and after a text without quotes, escapes or control
    characters is the same JSON with another text, so it need not be decoded.
    """

    def __init__(self) -> None:
        """Know no event yet."""
        self.prefix = b''
        self.suffix = b''

    def learn(self, payload: bytes, event: Mapping[str, Any]) -> None:
        """Take the pattern of a decoded and accepted event."""
        choices = event['choices']
        content = choices[0]['delta'].get('content') if choices else None
        if not content or event.get('usage'):
            return
        encoded = json.dumps(content, ensure_ascii=False).encode()
        before, found, after = payload.partition(encoded)
        if found and encoded not in after:
            self.prefix = before + _QUOTE
            self.suffix = _QUOTE + after

    def text_of(self, payload: bytes) -> str | None:
        """Return the text of an event that fits, or None."""
        if not self.prefix or not (
            payload.startswith(self.prefix) and payload.endswith(self.suffix)
        ):
            return None
        text = payload[len(self.prefix) : -len(self.suffix)]
        if not text or _SPECIAL.search(text):
            return None
        try:
            return text.decode()
        except UnicodeDecodeError:
            return None


def frame(payload: bytes) -> bytes:
    """Return a payload as a server-sent event."""
    return b'data: ' + payload + b'\n\n'


def _decode(payload: bytes) -> dict[str, Any] | None:
    # Anything that is not an event of a completion, such as an error object,
    # is no part of the answer.
    try:
        event = pydantic_core.from_json(payload)
    except ValueError:
        return None
    return event if _is_event(event) else None


def _is_event(event: object) -> bool:
    if not isinstance(event, dict):
        return False
    choices = event.get('choices')
    if not isinstance(choices, list) or len(choices) > 1:
        return False
    if not isinstance(event.get('usage') or {}, dict):
        return False
    return all(
        isinstance(one, dict) and isinstance(one.get('delta'), dict)
        for one in choices
    )
