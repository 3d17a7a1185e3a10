"""The manifest, the configuration that operators publish, and its checks."""

import enum
import json
from collections.abc import Iterable, Sequence
from typing import Annotated, Literal

import pydantic as pd
from pydantic import Field
from pydantic_core import ErrorDetails

Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
KeyHash = Annotated[str, Field(pattern=r'^[0-9a-f]{64}$')]
Fraction = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]

ANY_VERSION = '*'


class ManifestModel(pd.BaseModel):
    """Base of all models of the manifest: immutable, without unknown fields."""

    model_config = pd.ConfigDict(extra='forbid', frozen=True)


class VersionState(enum.StrEnum):
    """Whether a version may receive requests."""

    ALLOWED = 'allowed'  # may be loaded; receives requests by roll-out only
    SERVING = 'serving'
    WITHDRAWN = 'withdrawn'


class FailureDomain(ManifestModel):
    """A failure domain and its network delays."""

    name: Name
    region: Name
    one_way_ms: Annotated[float, Field(ge=0, le=1000)] = Field(
        4, description='One-way delay to other failure domains, ms.'
    )
    caller_one_way_ms: Annotated[float, Field(ge=0, le=1000)] = Field(
        3, description='One-way delay to callers, ms.'
    )


class Rank(ManifestModel):
    """A priority class of requests with its latency targets."""

    name: Name
    priority: Annotated[int, Field(ge=0, le=9)] = Field(
        description='0 is the most urgent.'
    )
    first_token_ms: Positive = Field(
        description=(
            'Target for the time to the first token, ms; the fraction '
            '`objective` of requests must meet it.'
        )
    )
    inter_token_ms: Positive = Field(
        description=(
            'Target for the time between tokens, ms; the fraction '
            '`objective` of requests must meet it.'
        )
    )
    objective: Fraction = 0.95
    floor: Fraction = Field(
        0, description='Fraction of capacity reserved for the rank in overload.'
    )


class Version(ManifestModel):
    """A version of a model."""

    name: Name
    state: VersionState


class Model(ManifestModel):
    """A model with its versions and prices."""

    name: Name
    prompt_cost: Annotated[int, Field(ge=0)] = Field(
        description='Price of a prompt token, micro-dollars per 1,000.'
    )
    completion_cost: Annotated[int, Field(ge=0)] = Field(
        description='Price of a generated token, micro-dollars per 1,000.'
    )
    versions: Annotated[tuple[Version, ...], Field(min_length=1)]


class EndpointGroup(ManifestModel):
    """Endpoints with the same settings; the VM list assigns VMs to groups."""

    name: Name
    model: Name | None = None
    service: Name | None = None
    versions: tuple[Name, ...] = ()
    slots: Annotated[int, Field(ge=1, le=4096)] = Field(
        8, description='Requests that an endpoint runs concurrently.'
    )
    checks_fencing: bool = Field(
        description='Whether endpoints refuse an outdated fencing token.'
    )
    resumes_streams: bool = False


class Grant(ManifestModel):
    """Permission to use a model in some or all of its versions."""

    model: Name
    versions: tuple[Name | Literal['*'], ...] = (ANY_VERSION,)


class Allowance(ManifestModel):
    """Rate limits of a team, summed over all nodes."""

    requests_per_minute: Annotated[int, Field(ge=0)] = 6000
    tokens_per_minute: Annotated[int, Field(ge=0)] = 6_000_000


class Team(ManifestModel):
    """A team of callers with its API keys and permissions."""

    name: Name
    key_hashes: Annotated[tuple[KeyHash, ...], Field(min_length=1)] = Field(
        description='SHA-256 of each key, hexadecimal.'
    )
    weight: Positive = Field(
        1, description='Weight in fair queueing within a rank.'
    )
    rank: Name = Field(description='Most urgent rank that the team may use.')
    grants: tuple[Grant, ...] = ()
    services: tuple[Name, ...] = ()
    allowance: Allowance = Allowance()


class CascadeStep(ManifestModel):
    """A model of a route; the steps are ordered by price, cheapest first."""

    model: Name
    accept_rating: Fraction = Field(
        0, description='Minimum rating at which the answer is accepted.'
    )


class Route(ManifestModel):
    """A cascade of models that callers address by one name."""

    name: Name
    steps: Annotated[tuple[CascadeStep, ...], Field(min_length=1)]
    quality_target: Fraction = 0.97


class RolloutStep(ManifestModel):
    """The share of new requests for the candidate and when the step may end."""

    share: Fraction
    min_requests: Annotated[int, Field(ge=1)] = 100
    min_seconds: Annotated[float, Field(ge=0)] = 30


class RolloutLimits(ManifestModel):
    """Differences between candidate and control at which a roll-out halts."""

    max_error_increase: Fraction = 0.02
    max_rating_drop: Fraction = 0.03
    max_latency_ratio: Annotated[float, Field(gt=1)] = 1.5


class Rollout(ManifestModel):
    """The gradual replacement of one version by another."""

    name: Name
    model: Name
    from_version: Name
    to_version: Name
    steps: Annotated[tuple[RolloutStep, ...], Field(min_length=1)]
    limits: RolloutLimits = RolloutLimits()


class Operation(ManifestModel):
    """An operation of a plain HTTP service."""

    method: Literal['GET', 'PUT', 'POST', 'PATCH', 'DELETE']
    path: Annotated[str, Field(pattern=r'^/')] = Field(
        description='Path prefix below /services/NAME.'
    )
    repeatable: bool = Field(
        description='Whether the call is idempotent and may be retried.'
    )


class Service(ManifestModel):
    """A plain HTTP service that is routed alongside the model engines."""

    name: Name
    operations: Annotated[tuple[Operation, ...], Field(min_length=1)]
    timeout_ms: Positive = 10_000


class Operator(ManifestModel):
    """An operator: may publish manifests and read the status."""

    name: Name
    key_hashes: Annotated[tuple[KeyHash, ...], Field(min_length=1)]


class Manifest(ManifestModel):
    """The whole configuration of a deployment."""

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
    """Parse a manifest and check it.

    Args:
      text: the manifest as JSON.

    Returns:
      The manifest, or None if it is invalid, and every error with its path.
    """
    try:
        manifest = Manifest.model_validate_json(text)
    except pd.ValidationError as invalid:
        return None, [_format_error(error) for error in invalid.errors()]
    errors = check_references(manifest)
    return (None if errors else manifest), errors


def _format_error(error: ErrorDetails) -> str:
    path = '.'.join(str(key) for key in error['loc']) or '(document)'
    message = error['msg']
    return f'{path}: {message}'


def schema() -> str:
    """Return the JSON Schema of the manifest as text."""
    return json.dumps(Manifest.model_json_schema(), indent=2)


def check_references(manifest: Manifest) -> list[str]:
    """Find duplicate names, dangling references and conflicting values.

    Args:
      manifest: a manifest whose fields are each valid.

    Returns:
      Every error with its path; empty when the manifest is consistent.
    """
    return [
        *_duplicate_name_errors(manifest),
        *_duplicate_key_errors(manifest),
        *_group_errors(manifest),
        *_team_errors(manifest),
        *_route_errors(manifest),
        *_rollout_errors(manifest),
    ]


def _names(entries: Iterable[object]) -> list[str]:
    return [str(getattr(entry, 'name')) for entry in entries]  # noqa: B009


def _duplicate_name_errors(manifest: Manifest) -> list[str]:
    errors: list[str] = []
    sections: dict[str, Sequence[object]] = {
        'failure_domains': manifest.failure_domains,
        'ranks': manifest.ranks,
        'models': manifest.models,
        'services': manifest.services,
        'endpoint_groups': manifest.endpoint_groups,
        'teams': manifest.teams,
        'rollouts': manifest.rollouts,
        'operators': manifest.operators,
    }
    for path, entries in sections.items():
        errors.extend(_duplicates(path, _names(entries)))
    targets = [*_names(manifest.models), *_names(manifest.routes)]
    errors.extend(_duplicates('routes', targets))
    for index, model in enumerate(manifest.models):
        field_path = f'models.{index}.versions'
        errors.extend(_duplicates(field_path, _names(model.versions)))
    if sum(rank.floor for rank in manifest.ranks) > 1:
        errors.append('ranks: the floors add up to more than 1')
    return errors


def _duplicates(path: str, names: Sequence[str]) -> list[str]:
    return [
        f'{path}: duplicate name {name!r}'
        for name in sorted(set(names))
        if names.count(name) > 1
    ]


def _duplicate_key_errors(manifest: Manifest) -> list[str]:
    owners: tuple[Team | Operator, ...] = (
        *manifest.teams,
        *manifest.operators,
    )
    hashes = [key_hash for owner in owners for key_hash in owner.key_hashes]
    return [
        f'teams: key hash {key_hash} is used twice'
        for key_hash in sorted(set(hashes))
        if hashes.count(key_hash) > 1
    ]


def _versions_by_model(manifest: Manifest) -> dict[str, list[str]]:
    return {model.name: _names(model.versions) for model in manifest.models}


def _version_errors(
    path: str,
    model: str,
    versions: Iterable[str],
    versions_by_model: dict[str, list[str]],
) -> list[str]:
    if model not in versions_by_model:
        return [f'{path}.model: no model {model!r}']
    return [
        f'{path}: model {model!r} has no version {version!r}'
        for version in versions
        if version != ANY_VERSION and version not in versions_by_model[model]
    ]


def _group_errors(manifest: Manifest) -> list[str]:
    errors: list[str] = []
    versions_by_model = _versions_by_model(manifest)
    services = _names(manifest.services)
    for index, group in enumerate(manifest.endpoint_groups):
        path = f'endpoint_groups.{index}'
        if (group.model is None) == (group.service is None):
            errors.append(
                f'{path}: set either model or service, not both or neither'
            )
        elif group.model is None and group.service not in services:
            errors.append(f'{path}.service: no service {group.service!r}')
        elif group.model is not None:
            errors.extend(
                _version_errors(
                    path, group.model, group.versions, versions_by_model
                )
            )
    return errors


def _team_errors(manifest: Manifest) -> list[str]:
    errors: list[str] = []
    versions_by_model = _versions_by_model(manifest)
    ranks = _names(manifest.ranks)
    services = _names(manifest.services)
    for index, team in enumerate(manifest.teams):
        path = f'teams.{index}'
        if team.rank not in ranks:
            errors.append(f'{path}.rank: no rank {team.rank!r}')
        for number, grant in enumerate(team.grants):
            field_path = f'{path}.grants.{number}'
            errors.extend(
                _version_errors(
                    field_path, grant.model, grant.versions, versions_by_model
                )
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
    versions_by_model = _versions_by_model(manifest)
    models: list[str] = []
    for index, rollout in enumerate(manifest.rollouts):
        path = f'rollouts.{index}'
        versions = (rollout.from_version, rollout.to_version)
        errors.extend(
            _version_errors(path, rollout.model, versions, versions_by_model)
        )
        shares = [step.share for step in rollout.steps]
        if shares != sorted(shares):
            errors.append(f'{path}.steps: shares must not decrease')
        if rollout.from_version == rollout.to_version:
            errors.append(f'{path}: from_version and to_version are the same')
        if rollout.model in models:
            errors.append(
                f'{path}.model: {rollout.model!r} has more than one roll-out'
            )
        models.append(rollout.model)
    return errors
