"""Who asks, and what that team may use."""

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

STALE = Refusal(
    503,
    'stale_configuration',
    'the configuration has not been confirmed for too long',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated request under one generation of the manifest."""

    catalog: Catalog
    team: Team
    rank: Rank


def identify(node: Node, request: Request) -> Result[Caller, Refusal]:
    """Find the team of a request and the rank that it asks for.

    Args:
      node: state of this process.
      request: with a Bearer key and, at will, an X-Rank header.

    Returns:
      The caller, or a refusal with status 401, 422 or 503.
    """
    catalog = node.catalog
    if catalog is None or not node.ready():
        return Err(_later(node, NOT_READY))
    if node.publication.staleness() is Staleness.EXPIRED:
        return Err(_later(node, STALE))
    team = catalogs.team_of_key(catalog, request.bearer_key())
    if team is None:
        return Err(Refusal(401, 'invalid_api_key', 'the API key is not valid'))
    rank = _rank(catalog, team, request.header('X-Rank'))
    if isinstance(rank, Err):
        return rank
    request.trace.identified(rank.ok_value, team.name)
    return Ok(Caller(catalog, team, rank.ok_value))


def _later(node: Node, refusal: Refusal) -> Refusal:
    retry_after = node.settings.head_poll_interval
    return dataclasses.replace(refusal, retry_after=retry_after)


def _rank(
    catalog: Catalog, team: Team, wanted: str | None
) -> Result[Rank, Refusal]:
    most_urgent = catalog.ranks[team.rank]
    if wanted is None:
        return Ok(most_urgent)
    rank = catalog.ranks.get(wanted)
    if rank is None:
        message = f'X-Rank: no rank {wanted!r}'
        return Err(Refusal(422, 'unknown_rank', message))
    if rank.priority < most_urgent.priority:
        return Ok(most_urgent)
    return Ok(rank)
