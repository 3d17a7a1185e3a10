"""The manifest in force, as immutable records with fast look-ups."""

import dataclasses
import hashlib
import hmac
from collections.abc import Mapping

from bronzeglade import manifest as manifests
from bronzeglade.manifest import VersionState


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A generation of the manifest; generation 0 is 'none published'."""

    generation: int
    digest: str
    text: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A model that serves a target, with one version or any."""

    model: str
    version: str | None = None
    accept_rating: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What the `model` field of a request stands for."""

    name: str
    steps: tuple[Step, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """Look-ups over one generation of the manifest."""

    configuration: Configuration
    manifest: manifests.Manifest
    teams: Mapping[str, manifests.Team]
    teams_by_key: Mapping[str, manifests.Team]
    models: Mapping[str, manifests.Model]
    routes: Mapping[str, manifests.Route]
    services: Mapping[str, manifests.Service]
    ranks: Mapping[str, manifests.Rank]
    groups: Mapping[str, manifests.EndpointGroup]
    rollouts: Mapping[str, manifests.Rollout]


def digest_of(text: bytes) -> str:
    """Return the digest that names a manifest's text."""
    return hashlib.sha256(text).hexdigest()


def build(
    configuration: Configuration,
) -> tuple[Catalog | None, list[str]]:
    """Build the look-ups of a configuration.

    Args:
      configuration: generation and text of a manifest.

    Returns:
      The catalog, or None, and every error with its path.
    """
    manifest, errors = manifests.parse(configuration.text)
    if manifest is None:
        return None, errors
    catalog = Catalog(
        configuration=configuration,
        manifest=manifest,
        teams={team.name: team for team in manifest.teams},
        teams_by_key={
            key_hash: team
            for team in manifest.teams
            for key_hash in team.key_hashes
        },
        models={model.name: model for model in manifest.models},
        routes={route.name: route for route in manifest.routes},
        services={service.name: service for service in manifest.services},
        ranks={rank.name: rank for rank in manifest.ranks},
        groups={group.name: group for group in manifest.endpoint_groups},
        rollouts={rollout.model: rollout for rollout in manifest.rollouts},
    )
    return catalog, []


def hash_key(key: str) -> str:
    """Return the hash under which the manifest holds a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def team_of_key(catalog: Catalog, key: str) -> manifests.Team | None:
    """Return the team that holds a key.

    The look-up is by the key's SHA-256 and the match is compared in constant
    time, so its duration tells nothing about the keys of other teams.
    """
    wanted = hash_key(key)
    found = None
    for key_hash, team in catalog.teams_by_key.items():
        if hmac.compare_digest(key_hash, wanted):
            found = team
    return found


def is_operator_key(manifest: manifests.Manifest, key: str) -> bool:
    """Return whether a key belongs to an operator of the manifest."""
    wanted = hash_key(key)
    matches = [
        hmac.compare_digest(key_hash, wanted)
        for operator in manifest.operators
        for key_hash in operator.key_hashes
    ]
    return any(matches)


def resolve(catalog: Catalog, name: str) -> Target | None:
    """Return what a `model` field stands for, or None when unknown.

    Args:
      catalog: the manifest in force.
      name: a model, `model@version` or a route.
    """
    route = catalog.routes.get(name)
    if route is not None:
        steps = tuple(
            Step(step.model, accept_rating=step.accept_rating)
            for step in route.steps
        )
        return Target(name, steps)
    model_name, _, version = name.partition('@')
    model = catalog.models.get(model_name)
    if model is None:
        return None
    if version and version not in {entry.name for entry in model.versions}:
        return None
    return Target(name, (Step(model_name, version or None),))


def is_granted(team: manifests.Team, model: str, version: str) -> bool:
    """Return whether a team may use a version of a model."""
    return any(
        grant.model == model
        and (
            manifests.ANY_VERSION in grant.versions or version in grant.versions
        )
        for grant in team.grants
    )


def grants(catalog: Catalog, team_name: str, model: str, version: str) -> bool:
    """Return whether a generation grants a version to a team by name."""
    team = catalog.teams.get(team_name)
    return team is not None and is_granted(team, model, version)


def version_state(catalog: Catalog, model: str, version: str) -> VersionState:
    """Return the state of a version; an unknown one counts as withdrawn."""
    entry = catalog.models.get(model)
    for candidate in entry.versions if entry else ():
        if candidate.name == version:
            return candidate.state
    return VersionState.WITHDRAWN


def usable_versions(
    catalog: Catalog, team: manifests.Team, model: str
) -> tuple[str, ...]:
    """Return the versions of a model that a team may be given, in order.

    Versions that are allowed but not serving receive work only while a
    roll-out replaces another version by them.
    """
    entry = catalog.models.get(model)
    if entry is None:
        return ()
    rollout = catalog.rollouts.get(model)
    candidate = rollout.to_version if rollout else None
    return tuple(
        version.name
        for version in entry.versions
        if is_granted(team, model, version.name)
        and (
            version.state is VersionState.SERVING
            or (
                version.state is VersionState.ALLOWED
                and version.name == candidate
            )
        )
    )


def bindable_versions(
    catalog: Catalog, team: manifests.Team, model: str
) -> tuple[str, ...]:
    """Return the versions of a model to which a session may stay bound.

    Beside the usable ones these are allowed versions without a roll-out: the
    end of a roll-out does not move the sessions that it has bound.
    """
    entry = catalog.models.get(model)
    if entry is None:
        return ()
    return tuple(
        version.name
        for version in entry.versions
        if is_granted(team, model, version.name)
        and version.state is not VersionState.WITHDRAWN
    )
