"""The active manifest as immutable records, indexed for look-ups."""

import dataclasses
import hashlib
import hmac
from collections.abc import Mapping

from bronzeglade import manifest as manifests
from bronzeglade.manifest import VersionState


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A generation of the manifest; generation 0 means none is published."""

    generation: int
    digest: str
    text: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A model that serves a target; any version of it if `version` is None."""

    model: str
    version: str | None = None
    accept_rating: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The models that the `model` field of a request resolves to."""

    name: str
    steps: tuple[Step, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """Indexes over one generation of the manifest."""

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
    """Return the SHA-256 digest, in hexadecimal, that identifies a manifest."""
    return hashlib.sha256(text).hexdigest()


def build(
    configuration: Configuration,
) -> tuple[Catalog | None, list[str]]:
    """Parse a configuration and build its indexes.

    Args:
      configuration: generation and text of a manifest.

    Returns:
      The catalog, or None if the manifest is invalid, and every error with
      its path.
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
    """Return the hash by which the manifest identifies an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def team_of_key(catalog: Catalog, key: str) -> manifests.Team | None:
    """Return the team that an API key belongs to.

    The key's SHA-256 is compared with every known hash in constant time, so
    that the duration reveals nothing about the keys of other teams.
    """
    key_digest = hash_key(key)
    matching_team = None
    for key_hash, team in catalog.teams_by_key.items():
        if hmac.compare_digest(key_hash, key_digest):
            matching_team = team
    return matching_team


def is_operator_key(manifest: manifests.Manifest, key: str) -> bool:
    """Return whether a key belongs to an operator of the manifest."""
    key_digest = hash_key(key)
    matches = [
        hmac.compare_digest(key_hash, key_digest)
        for operator in manifest.operators
        for key_hash in operator.key_hashes
    ]
    return any(matches)


def resolve(catalog: Catalog, name: str) -> Target | None:
    """Resolve the `model` field of a request; None if the name is unknown.

    Args:
      catalog: the active manifest.
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


def is_granted_to_team(
    catalog: Catalog, team_name: str, model: str, version: str
) -> bool:
    """Return whether a version is granted to the team of the given name."""
    team = catalog.teams.get(team_name)
    return team is not None and is_granted(team, model, version)


def version_state(catalog: Catalog, model: str, version: str) -> VersionState:
    """Return the state of a version; an unknown version counts as withdrawn."""
    entry = catalog.models.get(model)
    for known in entry.versions if entry else ():
        if known.name == version:
            return known.state
    return VersionState.WITHDRAWN


def usable_versions(
    catalog: Catalog, team: manifests.Team, model: str
) -> tuple[str, ...]:
    """Return the versions that may serve new requests of a team, in order.

    A version in state `allowed` receives requests only while it is the
    candidate of a roll-out.
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

    These include versions in state `allowed` without a roll-out: sessions
    that were bound to a candidate keep it when the roll-out ends.
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
