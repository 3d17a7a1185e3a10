"""Guards against answers that are cut, mismatched, repeated or not closed."""

import json
import re
from collections.abc import Sequence
from typing import Any

import pytest

from bronzeglade.builders import FakeStream, engine_event, engine_events
from bronzeglade.entry.answer import Answer

COUNT = 4


def run(answer: Answer) -> list[str]:
    """Return the tokens that the caller receives, in order."""
    assert answer.read_first()
    return re.findall(r'w\d+', b''.join(answer.body()).decode())


def answer_of(
    payloads: Sequence[bytes], *rest: Any, whole: bool = True
) -> Answer:
    """Return an answer whose later streams are given."""
    stream: Any = FakeStream(payloads, complete_after=whole)
    streams = list(rest)

    def reopen(tokens: int) -> Any:
        return streams.pop(0)(tokens) if streams else None

    return Answer(stream, 'a', reopen if rest else None)


def resumed(tokens: int) -> FakeStream:
    """Return the rest of the answer as an engine resumes it."""
    return FakeStream(engine_events('a', tokens, COUNT))


@pytest.mark.parametrize('delivered', range(1, COUNT + 2))
def test_cut_stream_is_resumed_without_gap_or_repetition(
    delivered: int,
) -> None:
    """A resumed answer must have each token once, at any place of the cut."""
    events = engine_events('a', 0, COUNT)[:delivered]
    answer = answer_of(events, resumed, whole=False)
    assert run(answer) == ['w0', 'w1', 'w2', 'w3']
    assert answer.complete
    assert len(list(answer.ending(with_usage=True))) == 2


def test_resume_from_the_start_is_not_whole() -> None:
    """An engine that ignores the resume header repeats tokens."""
    events = engine_events('a', 0, COUNT)[:2]
    answer = answer_of(events, lambda _tokens: resumed(0), whole=False)
    run(answer)
    assert not answer.complete


def test_lost_event_is_not_whole() -> None:
    """A stream that ends in order may still lack a token in the middle."""
    events = engine_events('a', 0, COUNT)
    del events[1]
    answer = answer_of(events, resumed)
    run(answer)
    assert not answer.complete


def test_event_of_another_request_is_never_delivered() -> None:
    """An engine that mixes up streams must not leak an answer."""
    mismatched = engine_event('b', 'w9 ')
    events = [engine_event('a', 'w0 '), mismatched]
    plain = answer_of(events)
    assert run(plain) == ['w0']
    assert not plain.complete
    repaired = answer_of(events, resumed)
    assert run(repaired) == ['w0', 'w1', 'w2', 'w3']
    assert repaired.complete


def test_first_event_of_another_request_is_no_start() -> None:
    """The wrong first event has to lead to a retry."""
    assert not answer_of([engine_event('b', 'w0 ')]).read_first()
    assert not answer_of([b'{"error": {}}']).read_first()
    assert not answer_of([b'not json']).read_first()


@pytest.mark.parametrize('kept', range(1, COUNT + 3))
def test_cut_stream_without_resume_is_not_whole(kept: int) -> None:
    """A truncated answer must never look whole, at any place of the cut."""
    answer = answer_of(engine_events('a', 0, COUNT)[:kept], whole=False)
    run(answer)
    assert not answer.complete


@pytest.mark.parametrize(
    'text', ['plain ', 'été', 'say "no"', 'tab\tbed', 'line\nend', '', '\u2028']
)
def test_events_are_recognised_without_decoding_only_when_alike(
    text: str,
) -> None:
    """A shortcut past the JSON decoder must not change what is understood."""
    events = [
        engine_event('a', 'w0 '),
        engine_event('a', text),
        *engine_events('a', 0, 2)[2:],
    ]
    answer = answer_of(events)
    run(answer)
    message = answer.document()['choices'][0]['message']
    assert message['content'] == f'w0 {text}'
    assert answer.finish_reason == 'stop'


def test_event_alike_but_of_another_request_is_noticed() -> None:
    """The shortcut has to compare the identity as well."""
    events = [engine_event('a', 'w0 '), engine_event('a', 'w1 ')]
    answer = answer_of([*events, engine_event('b', 'w2 ')])
    assert run(answer) == ['w0', 'w1']
    assert answer.mismatched


def call_event(name: str, arguments: str, finish: str | None) -> bytes:
    """Return an event with a part of a tool call."""
    function = {'name': name, 'arguments': arguments}
    calls = [{'index': 0, 'id': 'c1', 'function': function}]
    event = {
        'id': 'chatcmpl-a',
        'choices': [{'delta': {'tool_calls': calls}, 'finish_reason': finish}],
    }
    return json.dumps(event).encode()


def test_tool_calls_are_part_of_a_whole_answer() -> None:
    """An answer without its tool calls looks like an empty one."""
    cut = [call_event('log', '{"bird":', None), call_event('', '1}', 'stop')]
    rest = [call_event('', '1}', 'stop'), engine_events('a', 2, 2)[-1]]
    answer = answer_of(cut, lambda _tokens: FakeStream(rest), whole=False)
    run(answer)
    message = answer.document()['choices'][0]['message']
    assert message['content'] is None
    assert message['tool_calls'] == [
        {
            'id': 'c1',
            'type': 'function',
            'function': {'name': 'log', 'arguments': '{"bird":1}'},
        }
    ]
