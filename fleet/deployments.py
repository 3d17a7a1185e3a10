"""The two reference deployments at current size: manifests and VMs."""

import copy
import dataclasses
import hashlib
from collections.abc import Sequence
from typing import Any

RANKS = (
    {
        'name': 'urgent',
        'priority': 0,
        'first_token_ms': 800,
        'inter_token_ms': 26,
        'floor': 0.2,
    },
    {
        'name': 'standard',
        'priority': 1,
        'first_token_ms': 1300,
        'inter_token_ms': 26,
        'floor': 0.1,
    },
    {
        'name': 'patient',
        'priority': 2,
        'first_token_ms': 10_000,
        'inter_token_ms': 100,
        'floor': 0.05,
    },
)
OPERATOR_KEY = 'operator-key-for-tests'
TEAM_COUNT = 10
LARGE_TEAM_COUNT = 2  # the first teams of a deployment are large
LARGE_TEAM_WEIGHT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointPlan:
    """The endpoints of one group, spread over the failure domains.

    A group runs either a model or a plain service.
    """

    group: str
    count: int
    model: str | None = None
    service: str | None = None
    versions: tuple[str, ...] = ()
    slots: int = 8
    first_token_s: float = 0.05
    token_s: float = 0.01
    checks_fencing: bool = True
    preloaded: tuple[str, ...] = ()  # versions loaded at start; if empty, all
    load_s: float = 0  # time to load a version on request
    quality: float = 0.95
    skill: float = 1  # fraction of prompts that the model can handle


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The processes that the launcher starts and their manifest."""

    name: str
    region: str
    failure_domains: tuple[str, ...]
    one_way_ms: float
    caller_one_way_ms: float
    entry_count: int
    team_names: tuple[str, ...]
    endpoints: tuple[EndpointPlan, ...]
    models: tuple[dict[str, Any], ...]
    services: tuple[dict[str, Any], ...]
    routes: tuple[dict[str, Any], ...]
    rollouts: tuple[dict[str, Any], ...] = ()


def api_key_of(team: str) -> str:
    """Return the API key of a team in a stand-in fleet."""
    return f'key-of-{team}'


def _hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def manifest(deployment: Deployment) -> dict[str, Any]:
    """Return the manifest of a deployment as a new JSON document."""
    document = {
        'format': 1,
        'deployment': deployment.name,
        'failure_domains': [
            {
                'name': name,
                'region': deployment.region,
                'one_way_ms': deployment.one_way_ms,
                'caller_one_way_ms': deployment.caller_one_way_ms,
            }
            for name in deployment.failure_domains
        ],
        'ranks': list(RANKS),
        'models': list(deployment.models),
        'services': list(deployment.services),
        'endpoint_groups': [_group(plan) for plan in deployment.endpoints],
        'teams': _teams(deployment),
        'routes': list(deployment.routes),
        'rollouts': list(deployment.rollouts),
        'operators': [
            {'name': 'pipeline', 'key_hashes': [_hash_key(OPERATOR_KEY)]}
        ],
    }
    return copy.deepcopy(document)


def _group(plan: EndpointPlan) -> dict[str, Any]:
    document: dict[str, Any] = {
        'name': plan.group,
        'slots': plan.slots,
        'checks_fencing': plan.checks_fencing,
        'resumes_streams': plan.model is not None,
    }
    if plan.model is None:
        return {**document, 'service': plan.service}
    return {**document, 'model': plan.model, 'versions': list(plan.versions)}


def _teams(deployment: Deployment) -> list[dict[str, Any]]:
    models = [model['name'] for model in deployment.models]
    services = [service['name'] for service in deployment.services]
    ranks = [str(rank['name']) for rank in RANKS]
    teams: list[dict[str, Any]] = []
    for index, name in enumerate(deployment.team_names):
        is_large = index < LARGE_TEAM_COUNT
        teams.append(
            {
                'name': name,
                'key_hashes': [_hash_key(api_key_of(name))],
                'weight': LARGE_TEAM_WEIGHT if is_large else 1,
                'rank': ranks[0] if index % 3 == 0 else ranks[1],
                'grants': [{'model': model} for model in models],
                'services': services,
                'allowance': {
                    'requests_per_minute': 60_000 if is_large else 12_000
                },
            }
        )
    # The last team may use only the cheapest model.
    teams[-1]['grants'] = teams[-1]['grants'][:1]
    return teams


def _model(
    name: str, versions: Sequence[tuple[str, str]], prompt_cost: int
) -> dict[str, Any]:
    return {
        'name': name,
        'prompt_cost': prompt_cost,
        'completion_cost': prompt_cost * 4,
        'versions': [
            {'name': version, 'state': state} for version, state in versions
        ],
    }


def _small_engines(group: str, model: str) -> EndpointPlan:
    """Return two engines of a cheap, fast model of lower quality."""
    return EndpointPlan(
        group,
        2,
        model=model,
        versions=('v1',),
        first_token_s=0.03,
        token_s=0.005,
        quality=0.9,
        skill=0.7,
    )


def _service(name: str, order_path: str) -> dict[str, Any]:
    """Return a service with idempotent reads and non-idempotent orders."""
    return {
        'name': name,
        'operations': [
            {'method': 'GET', 'path': '/', 'repeatable': True},
            {'method': 'POST', 'path': order_path, 'repeatable': False},
        ],
    }


def _route(name: str, small: str, large: str) -> dict[str, Any]:
    """Return a cascade from a cheap model to an expensive one."""
    return {
        'name': name,
        'steps': [{'model': small, 'accept_rating': 0.8}, {'model': large}],
    }


BROLGA = Deployment(
    name='brolga',
    region='au-qld',
    failure_domains=('qld-a', 'qld-b', 'qld-c'),
    one_way_ms=4,
    caller_one_way_ms=3,
    entry_count=7,
    team_names=(
        'dawn-survey',
        'atlas',
        'digest',
        'photo-id',
        'call-id',
        'wader-group',
        'raptor-watch',
        'school-walks',
        'shorebird-count',
        'newsletter',
    ),
    endpoints=(
        _small_engines('guide-llm-small', 'guide-small'),
        EndpointPlan(
            'guide-llm-large', 3, model='guide-large', versions=('v1', 'v2')
        ),
        EndpointPlan(
            'sightings-api', 3, service='sightings', checks_fencing=False
        ),
    ),
    models=(
        _model('guide-small', [('v1', 'serving')], 100),
        _model('guide-large', [('v1', 'serving'), ('v2', 'allowed')], 1000),
    ),
    services=(_service('sightings', '/sightings'),),
    routes=(_route('identify', 'guide-small', 'guide-large'),),
)

NILE_DELTA = Deployment(
    name='nile-delta',
    region='delta-north',
    failure_domains=('tanta-a', 'mansoura-b', 'zagazig-c', 'banha-d'),
    one_way_ms=5,
    caller_one_way_ms=1,
    entry_count=8,
    team_names=(
        'press-floor',
        'agronomy',
        'cooperatives',
        'packet-backs',
        'distributors',
        'seed-lab',
        'plate-shop',
        'warehouse',
        'billing-desk',
        'archive',
    ),
    endpoints=(
        _small_engines('scribes-small', 'scribe-small'),
        EndpointPlan(
            'scribes-large', 4, model='scribe-large', versions=('v1', 'v2')
        ),
        EndpointPlan('pressroom', 4, service='pressroom', checks_fencing=False),
    ),
    models=(
        _model('scribe-small', [('v1', 'serving')], 100),
        _model('scribe-large', [('v1', 'serving'), ('v2', 'allowed')], 1200),
    ),
    services=(_service('pressroom', '/orders'),),
    routes=(_route('draft', 'scribe-small', 'scribe-large'),),
)

DEPLOYMENTS = {
    deployment.name: deployment for deployment in (BROLGA, NILE_DELTA)
}
