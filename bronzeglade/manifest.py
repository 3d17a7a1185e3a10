"""The manifest: validated models of what operators publish."""

import enum
import json
from collections.abc import Iterable, Sequence
from typing import Annotated, Literal

import pydantic as pd
from pydantic import Field
from pydantic_core import ErrorDetails

Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
KeyHash = Annotated[str, Field(pattern=r'^[0-9a-f]{64}$')]
Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]

ANY_VERSION = '*'


class Part(pd.BaseModel):
    """Base of every part of the manifest: immutable, no unknown fields."""

    model_config = pd.ConfigDict(extra='forbid', frozen=True)


class VersionState(enum.StrEnum):
    """Whether a version may receive work."""

    ALLOWED = 'allowed'  # loaded or loadable; receives work by roll-out only
    SERVING = 'serving'
    WITHDRAWN = 'withdrawn'


class FailureDomain(Part):
    """A failure domain and the delays that operators know."""

    name: Name
    region: Name
    one_way_ms: Annotated[float, Field(ge=0, le=1000)] = Field(
        4, description='One-way delay to other failure domains, ms.'
    )
    caller_one_way_ms: Annotated[float, Field(ge=0, le=1000)] = Field(
        3, description='One-way delay to callers, ms.'
    )


class Rank(Part):
    """A class of urgency with its targets."""

    name: Name
    priority: Annotated[int, Field(ge=0, le=9)] = Field(
        description='0 is the most urgent.'
    )
    first_token_ms: Positive = Field(
        description='Target of the first token for `objective` requests, ms.'
    )
    inter_token_ms: Positive = Field(
        description='Target between tokens for `objective` requests, ms.'
    )
    objective: Share = 0.95
    floor: Share = Field(
        0, description='Part of the capacity that the rank keeps in a flood.'
    )


class Version(Part):
    """A version of a model."""

    name: Name
    state: VersionState


class Model(Part):
    """A model with its versions and price."""

    name: Name
    prompt_cost: Annotated[int, Field(ge=0)] = Field(
        description='Price of a prompt token, micro-dollars per 1,000.'
    )
    completion_cost: Annotated[int, Field(ge=0)] = Field(
        description='Price of a generated token, micro-dollars per 1,000.'
    )
    versions: Annotated[tuple[Version, ...], Field(min_length=1)]


class EndpointGroup(Part):
    """Endpoints of one kind; the VM list names the VMs of each group."""

    name: Name
    model: Name | None = None
    service: Name | None = None
    versions: tuple[Name, ...] = ()
    slots: Annotated[int, Field(ge=1, le=4096)] = Field(
        8, description='Requests that one endpoint runs at the same time.'
    )
    checks_fencing: bool = Field(
        description='Whether endpoints refuse orders with an old token.'
    )
    resumes_streams: bool = False


class Grant(Part):
    """Leave to use a model and some of its versions."""

    model: Name
    versions: tuple[Name | Literal['*'], ...] = (ANY_VERSION,)


class Allowance(Part):
    """Limits of a team over all nodes."""

    requests_per_minute: Annotated[int, Field(ge=0)] = 6000
    tokens_per_minute: Annotated[int, Field(ge=0)] = 6_000_000


class Team(Part):
    """A caller with its keys and rights."""

    name: Name
    key_hashes: Annotated[tuple[KeyHash, ...], Field(min_length=1)] = Field(
        description='SHA-256 of each key, hexadecimal.'
    )
    weight: Positive = Field(
        1, description='Weight in fair queueing inside a rank.'
    )
    rank: Name = Field(description='Most urgent rank that the team may use.')
    grants: tuple[Grant, ...] = ()
    services: tuple[Name, ...] = ()
    allowance: Allowance = Allowance()


class CascadeStep(Part):
    """A model that a route tries, cheapest first."""

    model: Name
    accept_rating: Share = Field(
        0, description='Lowest rating with which the answer is accepted.'
    )


class Route(Part):
    """A name that callers use in place of a model."""

    name: Name
    steps: Annotated[tuple[CascadeStep, ...], Field(min_length=1)]
    quality_target: Share = 0.97


class RolloutStep(Part):
    """A share of new work and what must be seen before the next step."""

    share: Share
    min_requests: Annotated[int, Field(ge=1)] = 100
    min_seconds: Annotated[float, Field(ge=0)] = 30


class RolloutLimits(Part):
    """Evidence at which a roll-out halts."""

    max_error_increase: Share = 0.02
    max_rating_drop: Share = 0.03
    max_latency_ratio: Annotated[float, Field(gt=1)] = 1.5


class Rollout(Part):
    """The gradual replacement of one version by another."""

    name: Name
    model: Name
    from_version: Name
    to_version: Name
    steps: Annotated[tuple[RolloutStep, ...], Field(min_length=1)]
    limits: RolloutLimits = RolloutLimits()


class Operation(Part):
    """An operation of a plain service."""

    method: Literal['GET', 'PUT', 'POST', 'PATCH', 'DELETE']
    path: Annotated[str, Field(pattern=r'^/')] = Field(
        description='Prefix of the path below /services/NAME.'
    )
    repeatable: bool = Field(
        description='Whether the call is idempotent and may be retried.'
    )


class Service(Part):
    """A plain service beside the model engines."""

    name: Name
    operations: Annotated[tuple[Operation, ...], Field(min_length=1)]
    timeout_ms: Positive = 10_000


class Operator(Part):
    """Who may publish and read the status."""

    name: Name
    key_hashes: Annotated[tuple[KeyHash, ...], Field(min_length=1)]


class Manifest(Part):
    """Everything that is in force for a deployment."""

    format: Literal[1] = 1
    deployment: Name
    failure_domains: Annotated[tuple[FailureDomain, ...], Field(min_length=1)]
    ranks: Annotated[tuple[Rank, ...], Field(min_length=1)]
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    endpoint_groups: tuple[EndpointGroup, ...] = ()
    teams: tuple[Team, ...] = ()
    routes: tuple[Route, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    operators: Annotated[tuple[Operator, ...], Field(min_length=1)]


def parse(text: str | bytes) -> tuple[Manifest | None, list[str]]:
    """Read a manifest and check it.

    Args:
      text: the manifest as JSON.

    Returns:
      The manifest, or None, and every error with its path.
    """
    try:
        manifest = Manifest.model_validate_json(text)
    except pd.ValidationError as failure:
        return None, [_describe(error) for error in failure.errors()]
    errors = check_references(manifest)
    return (None if errors else manifest), errors


def _describe(error: ErrorDetails) -> str:
    path = '.'.join(str(part) for part in error['loc']) or '(document)'
    message = error['msg']
    return f'{path}: {message}'


def schema() -> str:
    """Return the JSON Schema of the manifest as text."""
    return json.dumps(Manifest.model_json_schema(), indent=2)


def check_references(manifest: Manifest) -> list[str]:
    """Find duplicate names and references to what does not exist.

    Args:
      manifest: a manifest whose fields are valid one by one.

    Returns:
      Every error with its path; empty when the manifest is consistent.
    """
    return [
        *_duplicate_errors(manifest),
        *_key_errors(manifest),
        *_group_errors(manifest),
        *_team_errors(manifest),
        *_route_errors(manifest),
        *_rollout_errors(manifest),
    ]


def _names(parts: Iterable[object]) -> list[str]:
    return [str(getattr(part, 'name')) for part in parts]  # noqa: B009


def _duplicate_errors(manifest: Manifest) -> list[str]:
    errors: list[str] = []
    lists: dict[str, Sequence[object]] = {
        'failure_domains': manifest.failure_domains,
        'ranks': manifest.ranks,
        'models': manifest.models,
        'services': manifest.services,
        'endpoint_groups': manifest.endpoint_groups,
        'teams': manifest.teams,
        'rollouts': manifest.rollouts,
        'operators': manifest.operators,
    }
    for path, parts in lists.items():
        errors.extend(_repeated(path, _names(parts)))
    targets = [*_names(manifest.models), *_names(manifest.routes)]
    errors.extend(_repeated('routes', targets))
    for index, model in enumerate(manifest.models):
        place = f'models.{index}.versions'
        errors.extend(_repeated(place, _names(model.versions)))
    if sum(rank.floor for rank in manifest.ranks) > 1:
        errors.append('ranks: floors add up to more than 1')
    return errors


def _repeated(path: str, names: Sequence[str]) -> list[str]:
    return [
        f'{path}: duplicate name {name!r}'
        for name in sorted(set(names))
        if names.count(name) > 1
    ]


def _key_errors(manifest: Manifest) -> list[str]:
    holders: tuple[Team | Operator, ...] = (
        *manifest.teams,
        *manifest.operators,
    )
    hashes = [key_hash for holder in holders for key_hash in holder.key_hashes]
    return [
        f'teams: key hash {key_hash} is used twice'
        for key_hash in sorted(set(hashes))
        if hashes.count(key_hash) > 1
    ]


def _versions(manifest: Manifest) -> dict[str, list[str]]:
    return {model.name: _names(model.versions) for model in manifest.models}


def _version_errors(
    path: str,
    model: str,
    versions: Iterable[str],
    known: dict[str, list[str]],
) -> list[str]:
    if model not in known:
        return [f'{path}.model: no model {model!r}']
    return [
        f'{path}: model {model!r} has no version {version!r}'
        for version in versions
        if version != ANY_VERSION and version not in known[model]
    ]


def _group_errors(manifest: Manifest) -> list[str]:
    errors: list[str] = []
    known = _versions(manifest)
    services = _names(manifest.services)
    for index, group in enumerate(manifest.endpoint_groups):
        path = f'endpoint_groups.{index}'
        if (group.model is None) == (group.service is None):
            errors.append(f'{path}: name either a model or a service')
        elif group.model is None and group.service not in services:
            errors.append(f'{path}.service: no service {group.service!r}')
        elif group.model is not None:
            errors.extend(
                _version_errors(path, group.model, group.versions, known)
            )
    return errors


def _team_errors(manifest: Manifest) -> list[str]:
    errors: list[str] = []
    known = _versions(manifest)
    ranks = _names(manifest.ranks)
    services = _names(manifest.services)
    for index, team in enumerate(manifest.teams):
        path = f'teams.{index}'
        if team.rank not in ranks:
            errors.append(f'{path}.rank: no rank {team.rank!r}')
        for number, grant in enumerate(team.grants):
            place = f'{path}.grants.{number}'
            errors.extend(
                _version_errors(place, grant.model, grant.versions, known)
            )
        errors.extend(
            f'{path}.services: no service {service!r}'
            for service in team.services
            if service not in services
        )
    return errors


def _route_errors(manifest: Manifest) -> list[str]:
    models = _names(manifest.models)
    return [
        f'routes.{index}.steps.{number}.model: no model {step.model!r}'
        for index, route in enumerate(manifest.routes)
        for number, step in enumerate(route.steps)
        if step.model not in models
    ]


def _rollout_errors(manifest: Manifest) -> list[str]:
    errors: list[str] = []
    known = _versions(manifest)
    models: list[str] = []
    for index, rollout in enumerate(manifest.rollouts):
        path = f'rollouts.{index}'
        versions = (rollout.from_version, rollout.to_version)
        errors.extend(_version_errors(path, rollout.model, versions, known))
        shares = [step.share for step in rollout.steps]
        if shares != sorted(shares):
            errors.append(f'{path}.steps: shares must not fall')
        if rollout.from_version == rollout.to_version:
            errors.append(f'{path}: both versions are the same')
        if rollout.model in models:
            errors.append(f'{path}.model: {rollout.model!r} has two roll-outs')
        models.append(rollout.model)
    return errors
