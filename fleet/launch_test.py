"""End-to-end tests: a fleet of processes serves an OpenAI client."""

import json
import time
from collections.abc import Iterator
from concurrent import futures
from pathlib import Path

import openai
import pytest

from fleet import deployments
from fleet.launch import Fleet, Program
from standins import answers
from standins.answers import Marker


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run the fleet of the `brolga` deployment."""
    directory: Path = tmp_path_factory.mktemp('logs')
    with Fleet(deployments.BROLGA, directory) as running:
        yield running


def client(fleet: Fleet, key: str | None = None) -> openai.OpenAI:
    """Return a standard OpenAI client of the first entry process."""
    return openai.OpenAI(
        base_url=f'http://{fleet.entries()[0].address}/v1',
        api_key=key or fleet.api_key(),
        max_retries=0,
    )


def test_whole_answer_with_usage(fleet: Fleet) -> None:
    """An answer is complete and its usage, which is billed, is correct."""
    messages = [{'role': 'user', 'content': 'which wader is this'}]
    answer = client(fleet).chat.completions.create(
        model='guide-large',
        messages=messages,  # type: ignore[arg-type]
        max_tokens=5,
    )
    marker = Marker('guide-large', 'v1', 0.95)
    assert answer.choices[0].message.content == ''.join(
        answers.tokens(messages, marker, 5)
    )
    assert answer.usage is not None
    assert answer.usage.completion_tokens == 5


def test_streamed_answer_ends_with_its_finish_reason(fleet: Fleet) -> None:
    """A stream ends with its finish reason.

    Without it a truncated stream looks like a short answer.
    """
    chunks = list(
        client(fleet).chat.completions.create(
            model='guide-small',
            messages=[{'role': 'user', 'content': 'hello'}],
            max_tokens=3,
            stream=True,
        )
    )
    assert [chunk.choices[0].finish_reason for chunk in chunks] == [
        None,
        None,
        None,
        'stop',
    ]


def test_idle_fleet_serves_one_caller_of_one_node(fleet: Fleet) -> None:
    """A single busy node uses the capacity that idle nodes leave free."""
    openai_client = client(fleet)

    def send(number: int) -> str | None:
        answer = openai_client.chat.completions.create(
            model='guide-small',
            messages=[{'role': 'user', 'content': f'wader {number}'}],
            max_tokens=5,
        )
        return answer.choices[0].message.content

    with futures.ThreadPoolExecutor(8) as callers:
        assert all(callers.map(send, range(60)))


def test_unreadable_deadline_is_refused(fleet: Fleet) -> None:
    """An invalid deadline is rejected, not treated as no deadline."""
    with pytest.raises(openai.BadRequestError):
        client(fleet).chat.completions.create(
            model='guide-small',
            messages=[{'role': 'user', 'content': 'hello'}],
            extra_headers={'X-Deadline-Ms': 'soon'},
        )


def test_wrong_key_and_forbidden_model_are_refused(fleet: Fleet) -> None:
    """A team cannot use models that the manifest does not grant it."""
    with pytest.raises(openai.AuthenticationError):
        client(fleet, 'wrong').models.list()
    limited = client(fleet, deployments.api_key_of('newsletter'))
    with pytest.raises(openai.PermissionDeniedError):
        limited.chat.completions.create(
            model='guide-large', messages=[{'role': 'user', 'content': 'hi'}]
        )


def send_request(fleet: Fleet, index: int) -> None:
    """Request one token of the large model through the n-th entry process."""
    entries = fleet.entries()
    entry = entries[index % len(entries)]
    openai.OpenAI(
        base_url=f'http://{entry.address}/v1',
        api_key=fleet.api_key(),
        max_retries=0,
    ).chat.completions.create(
        model='guide-large',
        messages=[{'role': 'user', 'content': f'question {index}'}],
        max_tokens=1,
    )


def executed_by(fleet: Fleet, engine: Program) -> int:
    """Return how many requests an engine has executed."""
    reply = fleet.http.request('GET', f'http://{engine.address}/executed')
    return len(json.loads(reply.data)['requests'])


def test_leaving_endpoint_gets_no_new_work(fleet: Fleet) -> None:
    """A leaving endpoint gets no new requests.

    They would be interrupted when its VM is removed.
    """
    leaving, *others = fleet.programs_with_role('guide-llm-large')
    index = 0
    while not executed_by(fleet, leaving):
        send_request(fleet, index)
        index += 1
        assert index < 200, 'the engine received no request while it was live'
    fleet.register([leaving], 'leaving')
    time.sleep(5)  # every entry process reads the VM list every 2 s
    before = executed_by(fleet, leaving)
    others_before = sum(executed_by(fleet, engine) for engine in others)
    for number in range(60):
        send_request(fleet, number)
    assert executed_by(fleet, leaving) == before
    assert (
        sum(executed_by(fleet, engine) for engine in others)
        == others_before + 60
    )
    fleet.register([leaving], 'live')
