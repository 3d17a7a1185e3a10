"""Division of a model's slots among nodes, by the demand of all nodes."""

import collections
import math
from collections.abc import Iterable, Mapping

import xxhash

# Number of requests to run concurrently, by priority and team.
Demand = Mapping[tuple[int, str], float]

_EPSILON = 1e-9  # tolerance for rounding errors


def capacities(
    slots: int,
    demands: Mapping[str, Demand],
    floors: Mapping[int, float],
    weights: Mapping[str, float],
) -> dict[str, int]:
    """Divide the slots of a model among the nodes.

    The capacities sum up to `slots`. With fewer slots than nodes, each node
    still gets one: a node without a slot would refuse work while engines are
    idle. The engines queue the excess by priority.

    Priorities first receive their floors, then the rest in order of urgency.
    The teams of a priority share its slots by weight, and nodes share those of
    a team in proportion to its demand there. Unrequested slots are spread
    evenly. All nodes with the same input compute the same division.

    Args:
      slots: slots of all workers of the model.
      demands: demand by node.
      floors: guaranteed fraction of the slots by priority.
      weights: weight by team; 1 when missing.

    Returns:
      Number of slots by node.
    """
    totals: collections.Counter[tuple[int, str]] = collections.Counter()
    for demand in demands.values():
        totals.update(demand)
    granted = _by_team(_by_priority(slots, totals, floors), totals, weights)
    spare = (slots - sum(granted.values())) / max(1, len(demands))
    shares = {
        node: spare
        + sum(
            granted[key] * requested / totals[key]
            for key, requested in demand.items()
            if totals[key] > 0
        )
        for node, demand in demands.items()
    }
    return _round_to_slots(slots, shares)


def free_slots(
    slots: int, others: Iterable[Demand], unreported: int, nodes: int
) -> int:
    """Return the number of slots that no other node requests.

    Any node may use them at once, so that no node refuses callers while
    engines are idle. When the others request all slots, the result is 0 and
    the division of `capacities` applies.

    Args:
      slots: slots of all workers of the model.
      others: demand of the other nodes.
      unreported: number of nodes whose demand is unknown; an equal fraction of
        the slots is reserved for each.
      nodes: number of nodes.
    """
    requested = sum(sum(demand.values()) for demand in others)
    reserved = unreported * slots / max(1, nodes)
    return max(0, math.floor(slots - requested - reserved))


def _by_priority(
    slots: int,
    totals: Mapping[tuple[int, str], float],
    floors: Mapping[int, float],
) -> dict[int, float]:
    requested: dict[int, float] = {}
    for (priority, _team), amount in sorted(totals.items()):
        requested[priority] = requested.get(priority, 0) + amount
    granted = {
        priority: min(amount, floors.get(priority, 0) * slots)
        for priority, amount in requested.items()
    }
    remaining = slots - sum(granted.values())
    for priority, amount in requested.items():
        added = max(0, min(remaining, amount - granted[priority]))
        granted[priority] += added
        remaining -= added
    return granted


def _by_team(
    priorities: Mapping[int, float],
    totals: Mapping[tuple[int, str], float],
    weights: Mapping[str, float],
) -> dict[tuple[int, str], float]:
    granted: dict[tuple[int, str], float] = {}
    for priority, amount in priorities.items():
        requested = {
            key: demand for key, demand in totals.items() if key[0] == priority
        }
        granted.update(_water_fill(amount, requested, weights))
    return granted


def _water_fill(
    amount: float,
    requested: Mapping[tuple[int, str], float],
    weights: Mapping[str, float],
) -> dict[tuple[int, str], float]:
    # Ascending ratio of demand to weight: a team that requests less than its
    # share is granted all of it, and the others divide the rest.
    order = sorted(
        requested,
        key=lambda key: (requested[key] / weights.get(key[1], 1), key),
    )
    remaining = amount
    remaining_weight = sum(weights.get(key[1], 1) for key in order)
    granted: dict[tuple[int, str], float] = {}
    for key in order:
        team_weight = weights.get(key[1], 1)
        granted[key] = min(
            requested[key], remaining * team_weight / remaining_weight
        )
        remaining -= granted[key]
        remaining_weight -= team_weight
    return granted


def _round_to_slots(slots: int, shares: Mapping[str, float]) -> dict[str, int]:
    if not shares or not slots:
        return dict.fromkeys(shares, 0)
    # Each node keeps one slot, so that small demands are served too.
    excess = {node: max(0, share - 1) for node, share in shares.items()}
    remaining = max(0, slots - len(shares))
    scale = remaining / max(_EPSILON, sum(excess.values()))
    scaled = {node: share * scale for node, share in excess.items()}
    rounded = {
        node: math.floor(share + _EPSILON) for node, share in scaled.items()
    }
    missing = remaining - sum(rounded.values())
    # Largest remainder first; ties are broken by a hash of the node name.
    order = sorted(
        scaled,
        key=lambda node: (
            rounded[node] - scaled[node],
            xxhash.xxh64_intdigest(node.encode()),
        ),
    )
    for node in order[:missing]:
        rounded[node] += 1
    return {node: 1 + count for node, count in rounded.items()}
