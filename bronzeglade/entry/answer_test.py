"""Tests that truncated, mismatched and repeated answers are detected."""

import json
import re
from collections.abc import Sequence
from typing import Any

import pytest

from bronzeglade.builders import FakeStream, engine_event, engine_events
from bronzeglade.entry.answer import Answer, frame

COUNT = 4


def read_tokens(answer: Answer) -> list[str]:
    """Return the tokens that the caller receives, in order."""
    assert answer.read_first_events()
    return re.findall(r'w\d+', b''.join(answer.body()).decode())


def new_answer(
    payloads: Sequence[bytes], *later_streams: Any, complete: bool = True
) -> Answer:
    """Return an answer of an engine that sends the given payloads.

    Args:
      payloads: events of the first stream.
      later_streams: functions that open the stream of each resume, given the
        number of tokens received.
      complete: whether the first stream ends normally.
    """
    stream: Any = FakeStream(payloads, complete_after=complete)
    streams = list(later_streams)

    def reopen(tokens: int) -> Any:
        return streams.pop(0)(tokens) if streams else None

    return Answer(stream, 'a', reopen if later_streams else None)


def resumed_stream(tokens: int) -> FakeStream:
    """Return the stream with which an engine resumes the answer."""
    return FakeStream(engine_events('a', tokens, COUNT))


@pytest.mark.parametrize('delivered', range(1, COUNT + 2))
def test_truncated_stream_is_resumed_without_gap_or_repetition(
    delivered: int,
) -> None:
    """Wherever the stream ends, each token must be delivered exactly once."""
    events = engine_events('a', 0, COUNT)[:delivered]
    answer = new_answer(events, resumed_stream, complete=False)
    assert read_tokens(answer) == ['w0', 'w1', 'w2', 'w3']
    assert answer.complete
    assert len(list(answer.final_events(with_usage=True))) == 2


def test_resume_from_the_start_is_not_complete() -> None:
    """Repeated tokens of an engine that ignores resumes are detected."""
    events = engine_events('a', 0, COUNT)[:2]
    answer = new_answer(
        events, lambda _tokens: resumed_stream(0), complete=False
    )
    read_tokens(answer)
    assert not answer.complete


def test_lost_event_is_not_complete() -> None:
    """A token missing from a stream that ends normally is detected."""
    events = engine_events('a', 0, COUNT)
    del events[1]
    answer = new_answer(events, resumed_stream)
    read_tokens(answer)
    assert not answer.complete


def test_event_of_another_request_is_never_delivered() -> None:
    """An engine that mixes up streams must not leak another answer."""
    mismatched = engine_event('b', 'w9 ')
    events = [engine_event('a', 'w0 '), mismatched]
    without_resume = new_answer(events)
    assert read_tokens(without_resume) == ['w0']
    assert not without_resume.complete
    with_resume = new_answer(events, resumed_stream)
    assert read_tokens(with_resume) == ['w0', 'w1', 'w2', 'w3']
    assert with_resume.complete


@pytest.mark.parametrize(
    'payloads',
    [
        [],
        [b'{"error": {"message": "overloaded"}}'],
        [b'HTTP/1.1 503 Service Unavailable'],
        [engine_event('b', 'w2 ')],
        engine_events('b', 2, COUNT),
    ],
)
def test_error_instead_of_a_resumed_stream_is_not_delivered(
    payloads: Sequence[bytes],
) -> None:
    """It must neither get into the answer nor make it look complete."""
    events = engine_events('a', 0, COUNT)[:2]
    answer = new_answer(
        events, lambda _tokens: FakeStream(payloads), complete=False
    )
    assert answer.read_first_events()
    body = b''.join(answer.body())
    assert body == b''.join(frame(event) for event in events)
    assert not answer.complete


def test_first_event_of_another_request_is_rejected() -> None:
    """A wrong first event must be rejected, so that the request is retried."""
    assert not new_answer([engine_event('b', 'w0 ')]).read_first_events()
    assert not new_answer([b'{"error": {}}']).read_first_events()
    assert not new_answer([b'not json']).read_first_events()


@pytest.mark.parametrize('delivered', range(1, COUNT + 3))
def test_truncated_stream_without_resume_is_not_complete(
    delivered: int,
) -> None:
    """Wherever the stream ends, a truncated answer must not look complete."""
    answer = new_answer(
        engine_events('a', 0, COUNT)[:delivered], complete=False
    )
    read_tokens(answer)
    assert not answer.complete


@pytest.mark.parametrize(
    'text', ['plain ', 'été', 'say "no"', 'tab\tbed', 'line\nend', '', '\u2028']
)
def test_text_is_the_same_without_json_decoding(
    text: str,
) -> None:
    """Skipping the JSON decoder must not change the decoded text."""
    events = [
        engine_event('a', 'w0 '),
        engine_event('a', text),
        *engine_events('a', 0, 2)[2:],
    ]
    answer = new_answer(events)
    read_tokens(answer)
    message = answer.document()['choices'][0]['message']
    assert message['content'] == f'w0 {text}'
    assert answer.finish_reason == 'stop'


def test_template_does_not_match_events_of_another_request() -> None:
    """An event must not match if only its completion id differs."""
    events = [engine_event('a', 'w0 '), engine_event('a', 'w1 ')]
    answer = new_answer([*events, engine_event('b', 'w2 ')])
    assert read_tokens(answer) == ['w0', 'w1']
    assert answer.mismatched


def tool_call_event(name: str, arguments: str, finish: str | None) -> bytes:
    """Return an event with a fragment of a tool call."""
    function = {'name': name, 'arguments': arguments}
    calls = [{'index': 0, 'id': 'c1', 'function': function}]
    event = {
        'id': 'chatcmpl-a',
        'choices': [{'delta': {'tool_calls': calls}, 'finish_reason': finish}],
    }
    return json.dumps(event).encode()


def test_complete_answer_includes_tool_calls() -> None:
    """Otherwise an answer of only tool calls would be empty."""
    truncated = [
        tool_call_event('log', '{"bird":', None),
        tool_call_event('', '1}', 'stop'),
    ]
    resumed = [
        tool_call_event('', '1}', 'stop'),
        engine_events('a', 2, 2)[-1],
    ]
    answer = new_answer(
        truncated, lambda _tokens: FakeStream(resumed), complete=False
    )
    read_tokens(answer)
    message = answer.document()['choices'][0]['message']
    assert message['content'] is None
    assert message['tool_calls'] == [
        {
            'id': 'c1',
            'type': 'function',
            'function': {'name': 'log', 'arguments': '{"bird":1}'},
        }
    ]
