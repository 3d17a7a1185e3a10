"""Tests cascades in a fleet of processes."""

import dataclasses
import json
from collections.abc import Iterator

import pytest
import urllib3

from fleet import deployments
from fleet.launch import Fleet

MESSAGE = 'which wader is this'


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run two routers, the minimum for publishing a manifest."""
    deployment = dataclasses.replace(deployments.BROLGA, entry_count=2)
    with Fleet(deployment, tmp_path_factory.mktemp('logs')) as running:
        yield running


def identify(fleet: Fleet, **changes: object) -> urllib3.BaseHTTPResponse:
    """Send a chat completion to the route `identify`.

    Args:
      fleet: the running fleet.
      changes: members to add to the request body.
    """
    return fleet.http.request(
        'POST',
        f'http://{fleet.entries()[0].address}/v1/chat/completions',
        json={
            'model': 'identify',
            'messages': [{'role': 'user', 'content': MESSAGE}],
            'max_tokens': 5,
            **changes,
        },
        headers={'Authorization': f'Bearer {fleet.api_key()}'},
        timeout=20,
    )


def metric(fleet: Fleet, name: str) -> float:
    """Return the sum of a metric of the first router over its labels."""
    url = f'http://{fleet.entries()[0].control_address}/metrics'
    lines = fleet.http.request('GET', url).data.decode().splitlines()
    return sum(
        float(line.rpartition(' ')[2])
        for line in lines
        if line.startswith(name)
    )


def test_good_cheap_answer_is_accepted(fleet: Fleet) -> None:
    """An accepted answer arrives complete, streamed or not."""
    reply = identify(fleet)
    assert reply.headers['X-Model'] == 'guide-small'
    text = reply.json()['choices'][0]['message']['content']
    streamed = identify(fleet, stream=True).data.decode()
    events = [
        json.loads(line.removeprefix('data: '))
        for line in streamed.splitlines()
        if line.startswith('data: {')
    ]
    contents = [
        choice['delta'].get('content', '')
        for event in events
        for choice in event['choices']
    ]
    assert ''.join(contents) == text
    assert streamed.endswith('data: [DONE]\n\n')


def test_bad_cheap_answer_is_escalated_and_billed_once(fleet: Fleet) -> None:
    """A rejected cheap answer is replaced by the large model's answer.

    The caller is billed once, for the answer of the large model.
    """
    for engine in fleet.programs_with_role('guide-llm-small'):
        fleet.inject_faults(engine, {'bad_version': 'v1', 'bad_errors': 0})
    before = metric(fleet, 'bronzeglade_cost_nanodollars_total')
    reply = identify(fleet)
    assert reply.headers['X-Model'] == 'guide-large'
    usage = reply.json()['usage']
    large_cost = (
        usage['prompt_tokens'] * 1000 + usage['completion_tokens'] * 4000
    )
    cost = metric(fleet, 'bronzeglade_cost_nanodollars_total') - before
    assert cost == pytest.approx(large_cost * 1.1)


def test_without_ratings_the_expensive_model_answers(fleet: Fleet) -> None:
    """Without ratings, answers come from the expensive model only."""
    fleet.inject_faults(fleet.programs_with_role('ratings')[0], {'outage': 1})
    models = {identify(fleet).headers['X-Model'] for _ in range(6)}
    assert models == {'guide-large'}
    name = 'bronzeglade_cascade_quality_first_nanodollars_total'
    assert metric(fleet, name) > 0
