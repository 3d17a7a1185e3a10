"""Authentication of callers and the choice of a request's rank."""

import dataclasses

from result import Err, Ok, Result

from bronzeglade import catalog as catalogs
from bronzeglade.catalog import Catalog
from bronzeglade.coordination.publication import Staleness
from bronzeglade.entry.http import Request
from bronzeglade.entry.node import Node
from bronzeglade.manifest import Rank, Team
from bronzeglade.outcome import Refusal

NOT_READY = Refusal(
    503, 'no_configuration', 'this node has no configuration yet'
)

STALE_CONFIGURATION = Refusal(
    503,
    'stale_configuration',
    'the configuration was not confirmed within the staleness limit',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The authenticated team of a request, its rank and the active catalog."""

    catalog: Catalog
    team: Team
    rank: Rank


def identify(node: Node, request: Request) -> Result[Caller, Refusal]:
    """Authenticate a request and determine its rank.

    A team cannot request a rank more urgent than its own; it then gets its
    own rank.

    Args:
      node: state of this process.
      request: has a Bearer key and optionally an X-Rank header.

    Returns:
      The caller, or a refusal with status 401, 422 or 503.
    """
    catalog = node.catalog
    if catalog is None or not node.ready():
        return Err(_with_retry_after(node, NOT_READY))
    if node.publication.staleness() is Staleness.EXPIRED:
        return Err(_with_retry_after(node, STALE_CONFIGURATION))
    team = catalogs.team_of_key(catalog, request.bearer_key())
    if team is None:
        return Err(Refusal(401, 'invalid_api_key', 'the API key is not valid'))
    rank = _rank(catalog, team, request.header('X-Rank'))
    if isinstance(rank, Err):
        return rank
    request.trace.set_caller(rank.ok_value, team.name)
    return Ok(Caller(catalog, team, rank.ok_value))


def _with_retry_after(node: Node, refusal: Refusal) -> Refusal:
    retry_after = node.settings.head_poll_interval
    return dataclasses.replace(refusal, retry_after=retry_after)


def _rank(
    catalog: Catalog, team: Team, requested: str | None
) -> Result[Rank, Refusal]:
    team_rank = catalog.ranks[team.rank]
    if requested is None:
        return Ok(team_rank)
    rank = catalog.ranks.get(requested)
    if rank is None:
        message = f'X-Rank: no rank {requested!r}'
        return Err(Refusal(422, 'unknown_rank', message))
    if rank.priority < team_rank.priority:
        return Ok(team_rank)
    return Ok(rank)
