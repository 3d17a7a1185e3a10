"""Choice of the model and version that answer a request."""

import dataclasses

from result import Err, Ok, Result

from bronzeglade import catalog as catalogs
from bronzeglade.catalog import Step
from bronzeglade.entry.access import Caller
from bronzeglade.entry.http import Request
from bronzeglade.entry.node import Node
from bronzeglade.entry.sessions import ModelVersions, SessionRequest
from bronzeglade.entry.versions import HALTED
from bronzeglade.manifest import VersionState
from bronzeglade.outcome import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A model and version.

    `session_token` and `session_rebound` go into the response; the latter is
    the version that the session had to leave.
    """

    model: str
    version: str
    session_token: str | None = None
    session_rebound: str | None = None


def allowed_steps(caller: Caller, name: str) -> Result[list[Step], Refusal]:
    """Return the steps of a target that the team may use, cheapest first.

    Args:
      caller: who asks.
      name: the `model` field.

    Returns:
      At least one step, or a refusal with status 403 or 404.
    """
    target = catalogs.resolve(caller.catalog, name)
    if target is None:
        message = f'there is no model or route {name!r}'
        return Err(Refusal(404, 'model_not_found', message))
    steps = [step for step in target.steps if _versions(caller, step)]
    return Ok(steps) if steps else Err(_no_version(caller, name))


def choose(
    node: Node, caller: Caller, request: Request, step: Step
) -> Result[Choice, Refusal]:
    """Choose the version of a step, kept by the request's session.

    Args:
      node: state of this process.
      caller: who asks.
      request: with X-Session-Id and X-Session-Token, at will.
      step: a step that the team may use.

    Returns:
      The choice, or a refusal; nothing has run.
    """
    usable = _versions(caller, step)
    session_id = request.header('X-Session-Id')
    offered = node.versions.offered(caller.catalog, step.model, usable)
    if not offered.unbound:
        return Err(HALTED)
    if step.version is not None:
        return Ok(Choice(step.model, step.version))
    preferred = node.versions.preferred(
        caller.catalog,
        step.model,
        offered.unbound,
        session_id or request.request_id,
    )
    if session_id is None:
        return Ok(Choice(step.model, preferred))
    session = SessionRequest(
        caller.team.name,
        session_id,
        request.header('X-Session-Token'),
        step.model,
    )
    kept = node.versions.offered(
        caller.catalog,
        step.model,
        catalogs.bindable_versions(caller.catalog, caller.team, step.model),
    )
    versions = ModelVersions(offered.bound, kept.bound, preferred)
    outcome = node.sessions.bind(session, versions)
    if isinstance(outcome, Err):
        return outcome
    binding = outcome.ok_value
    return Ok(
        Choice(step.model, binding.version, binding.token, binding.rebound_from)
    )


def _versions(caller: Caller, step: Step) -> tuple[str, ...]:
    usable = catalogs.usable_versions(caller.catalog, caller.team, step.model)
    if step.version is None:
        return usable
    return tuple(version for version in usable if version == step.version)


def _no_version(caller: Caller, name: str) -> Refusal:
    model, _, version = name.partition('@')
    granted = any(grant.model == model for grant in caller.team.grants)
    if granted and version:
        state = catalogs.version_state(caller.catalog, model, version)
        if state is VersionState.WITHDRAWN:
            message = f'version {version!r} of {model!r} is withdrawn'
            return Refusal(404, 'version_withdrawn', message)
    message = f'team {caller.team.name!r} may not use {name!r}'
    return Refusal(403, 'model_not_allowed', message)
