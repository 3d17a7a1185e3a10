"""Event stream of an answer, checked for identity and completeness."""

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
# Bytes that are escaped in JSON strings.
_ESCAPED_IN_JSON = re.compile(rb'["\\\x00-\x1f]')
MAX_RESUMES = 2  # per answer; each resume prefills the prompt again

ReopenStream = Callable[[int], EngineStream | None]


class Answer:
    """Answer of an engine to one request, received as a stream of events.

    Events that carry the finish reason or the usage are held back, so that
    the caller receives them only after the request is billed.
    """

    def __init__(
        self,
        stream: EngineStream,
        request_id: str,
        reopen: ReopenStream | None = None,
    ) -> None:
        """Create an answer that is read from an open stream.

        Args:
          stream: stream of the engine.
          request_id: request that every event must belong to.
          reopen: opens a stream that resumes a truncated one after the given
            number of tokens, or returns None; None if the endpoint group does
            not resume streams.
        """
        self.stream = stream
        self.completion_id = ID_PREFIX + request_id
        self.batches = stream.batches()
        self.reopen = reopen
        self.resumes = 0
        self.first_events = b''
        self.held_events: list[tuple[bytes, bool]] = []
        self.held_tokens = 0
        self.text: list[str] = []
        self.tool_calls: list[tuple[int, Mapping[str, Any]]] = []
        self.token_count = 0
        self.reported_usage: Mapping[str, int] | None = None
        self.finish_reason: str | None = None
        self.model = ''
        self.created = 0
        self.mismatched = False
        self.template = EventTemplate()

    @property
    def complete(self) -> bool:
        """Whether the answer arrived completely, with its usage."""
        return (
            self.stream.complete
            and not self.mismatched
            and self.finish_reason is not None
            and self._token_count_matches()
        )

    def read_first_events(self) -> bool:
        """Wait for the first events; return whether they match the request."""
        batch = next(self.batches, None)
        if batch is None:
            return False
        self.first_events = self._accept_batch(batch)
        return not self.mismatched

    def body(self) -> Iterator[bytes]:
        """Yield all but the held-back events, framed as server-sent events.

        Events that arrived together are yielded together. A truncated stream
        is resumed on another worker if the endpoint group supports it.
        """
        if self.first_events:
            yield self.first_events
        yield from self._remaining_events()
        while not self.complete and self._resume():
            yield from self._remaining_events()

    def final_events(self, with_usage: bool) -> Iterator[bytes]:
        """Yield the events that were held back, framed.

        Args:
          with_usage: whether the caller requested the usage.
        """
        for payload, has_choices in self.held_events:
            if has_choices or with_usage:
                yield frame(payload)

    def usage(self) -> Usage:
        """Return the token counts of the request.

        Where the engine has reported none, the prompt counts as 0 tokens and
        the completion as the tokens received.
        """
        reported_usage = self.reported_usage or {}
        return Usage(
            prompt_tokens=reported_usage.get('prompt_tokens', 0),
            completion_tokens=reported_usage.get(
                'completion_tokens', self.token_count
            ),
        )

    def document(self) -> dict[str, Any]:
        """Return the answer as a chat.completion object."""
        usage = self.usage()
        total = usage.prompt_tokens + usage.completion_tokens
        return {
            'id': self.completion_id,
            'object': 'chat.completion',
            'created': self.created,
            'model': self.model,
            'choices': [
                {
                    'index': 0,
                    'message': self._assistant_message(),
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

    def _assistant_message(self) -> dict[str, Any]:
        content = ''.join(self.text)
        if not self.tool_calls:
            return {'role': 'assistant', 'content': content}
        return {
            'role': 'assistant',
            'content': content or None,
            'tool_calls': tools.merge(
                call for _position, call in self.tool_calls
            ),
        }

    def close(self) -> None:
        """Close the stream, which cancels an unfinished request."""
        self.batches.close()  # type: ignore[attr-defined]
        self.stream.close()

    def _token_count_matches(self) -> bool:
        # An engine that resumes streams sends one token per event, so a lost
        # event makes the counts differ. Other engines may put several tokens
        # into an event, but at least one.
        if self.reported_usage is None:
            return False
        expected = self.reported_usage.get('completion_tokens', -1)
        if self.reopen is None:
            return self.token_count <= expected
        return self.token_count == expected

    def _remaining_events(self) -> Iterator[bytes]:
        for batch in self.batches:
            events = self._accept_batch(batch)
            if events:
                yield events
            if self.mismatched:
                return

    def _resume(self) -> bool:
        # A stream that ended normally may have more tokens than its usage
        # reports. They have been delivered and cannot be withdrawn, so such a
        # stream is not resumed.
        ended_normally = self.stream.complete and not self.mismatched
        if self.reopen is None or ended_normally or self.resumes >= MAX_RESUMES:
            return False
        self.resumes += 1
        self.close()
        stream = self.reopen(self.token_count - self.held_tokens)
        if stream is None:
            return False
        self.stream = stream
        self.batches = stream.batches()
        self.mismatched = False
        self._discard_held_events()
        return True

    def _discard_held_events(self) -> None:
        # The resumed stream sends these events again.
        if self.held_tokens:
            del self.text[-self.held_tokens :]
        self.token_count -= self.held_tokens
        self.tool_calls = [
            call for call in self.tool_calls if call[0] <= self.token_count
        ]
        self.held_tokens = 0
        self.held_events = []
        self.reported_usage = None
        self.finish_reason = None

    def _accept_batch(self, batch: list[bytes]) -> bytes:
        framed: list[bytes] = []
        for payload in batch:
            text = self.template.match_text(payload)
            if text is not None:
                self.token_count += 1
                self.text.append(text)
                framed.append(frame(payload))
                continue
            event = _decode(payload)
            if event is None or event.get('id') != self.completion_id:
                self.mismatched = True
                break
            if self._accept_event(payload, event):
                self.template.update(payload, event)
                framed.append(frame(payload))
        return b''.join(framed)

    def _accept_event(self, payload: bytes, event: Mapping[str, Any]) -> bool:
        self.model = event.get('model', self.model)
        self.created = event.get('created', self.created)
        self.reported_usage = event.get('usage') or self.reported_usage
        choices = event['choices']
        if not choices:
            self.held_events.append((payload, False))
            return False
        delta = choices[0]['delta']
        self.finish_reason = choices[0].get('finish_reason')
        is_final = self.finish_reason is not None
        if any(delta[key] for key in delta if key != 'role'):
            self.token_count += 1
            self.held_tokens += is_final
            self.text.append(delta.get('content') or '')
            self.tool_calls.extend(
                (self.token_count, call)
                for call in delta.get('tool_calls') or ()
            )
        if is_final:
            self.held_events.append((payload, True))
        return not is_final


class EventTemplate:
    """The bytes before and after the text of a token event.

    The token events of one answer differ only in their text. An event with
    the same bytes around a text without quotes, escapes or control characters
    is the same JSON document with another text, so it need not be decoded.
    """

    def __init__(self) -> None:
        """Create a template that matches no event."""
        self.prefix = b''
        self.suffix = b''

    def update(self, payload: bytes, event: Mapping[str, Any]) -> None:
        """Set the template from a decoded and accepted event."""
        choices = event['choices']
        content = choices[0]['delta'].get('content') if choices else None
        if not content or event.get('usage'):
            return
        encoded = json.dumps(content, ensure_ascii=False).encode()
        before, found, after = payload.partition(encoded)
        if found and encoded not in after:
            self.prefix = before + _QUOTE
            self.suffix = _QUOTE + after

    def match_text(self, payload: bytes) -> str | None:
        """Return the text of an event, or None if it does not match."""
        if not self.prefix or not (
            payload.startswith(self.prefix) and payload.endswith(self.suffix)
        ):
            return None
        text = payload[len(self.prefix) : -len(self.suffix)]
        if not text or _ESCAPED_IN_JSON.search(text):
            return None
        try:
            return text.decode()
        except UnicodeDecodeError:
            return None


def frame(payload: bytes) -> bytes:
    """Return a payload as a server-sent event."""
    return b'data: ' + payload + b'\n\n'


def _decode(payload: bytes) -> dict[str, Any] | None:
    # Payloads other than completion events, such as error objects, are not
    # part of the answer.
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
        isinstance(choice, dict) and isinstance(choice.get('delta'), dict)
        for choice in choices
    )
