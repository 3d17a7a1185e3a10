"""Choice of the model and version that answer a request."""

import dataclasses

from result import Err, Ok, Result

from bronzeglade import catalog as catalogs
from bronzeglade.catalog import Step
from bronzeglade.entry.access import Caller
from bronzeglade.entry.http import Request
from bronzeglade.entry.node import Node
from bronzeglade.entry.sessions import ModelVersions, SessionRequest
from bronzeglade.entry.versions import VERSION_HALTED
from bronzeglade.manifest import VersionState
from bronzeglade.outcome import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The model and version chosen for a request.

    Attributes:
      model: name of the model.
      version: name of the version.
      session_token: session token for the response.
      session_rebound: version to which the session was bound before, if it had
        to change; reported in the response.
    """

    model: str
    version: str
    session_token: str | None = None
    session_rebound: str | None = None


def allowed_steps(caller: Caller, name: str) -> Result[list[Step], Refusal]:
    """Return the steps of a target that the team may use, cheapest first.

    Args:
      caller: the caller.
      name: `model` field of the request.

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
    """Choose the version that runs a step.

    A session is bound to its version. Without a session, every request is
    assigned by itself.

    Args:
      node: state of this process.
      caller: the caller.
      request: may have the headers X-Session-Id and X-Session-Token.
      step: a step that the team may use.

    Returns:
      The choice, or a refusal; the request has not run.
    """
    usable = _versions(caller, step)
    session_id = request.header('X-Session-Id')
    eligible = node.versions.eligible(caller.catalog, step.model, usable)
    if not eligible.unbound:
        return Err(VERSION_HALTED)
    if step.version is not None:
        return Ok(Choice(step.model, step.version))
    preferred = node.versions.preferred(
        caller.catalog,
        step.model,
        eligible.unbound,
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
    bindable = node.versions.eligible(
        caller.catalog,
        step.model,
        catalogs.bindable_versions(caller.catalog, caller.team, step.model),
    )
    versions = ModelVersions(eligible.bound, bindable.bound, preferred)
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
