"""Each node's part of the fleet's slots, from the demand of all nodes."""

import collections
import math
from collections.abc import Iterable, Mapping

import xxhash

# Requests that want to run at the same time, by priority and team.
Demand = Mapping[tuple[int, str], float]

_ENOUGH = 1e-9


def capacities(
    slots: int,
    demands: Mapping[str, Demand],
    floors: Mapping[int, float],
    weights: Mapping[str, float],
) -> dict[str, int]:
    """Divide the slots of a model among the nodes.

    The sum is `slots`. When there are fewer slots than nodes, each node keeps
    one slot all the same: a node without a slot would refuse work while the
    engines are idle. The engines queue what is too much, by priority.

    Ranks take floors first and then the rest in order of urgency; teams share
    a rank by weight; a node has the part of a team's slots that it has of the
    team's demand. What nobody wants is spread evenly. Every node with the
    same documents computes the same division.

    Args:
      slots: slots of all workers of the model.
      demands: demand by node.
      floors: part of the slots that each priority keeps.
      weights: of teams; 1 when missing.
    """
    totals: collections.Counter[tuple[int, str]] = collections.Counter()
    for demand in demands.values():
        totals.update(demand)
    granted = _by_team(_by_rank(slots, totals, floors), totals, weights)
    spare = (slots - sum(granted.values())) / max(1, len(demands))
    shares = {
        node: spare
        + sum(
            granted[key] * wanted / totals[key]
            for key, wanted in demand.items()
            if totals[key] > 0
        )
        for node, demand in demands.items()
    }
    return _whole(slots, shares)


def free_slots(
    slots: int, others: Iterable[Demand], silent: int, nodes: int
) -> int:
    """Return the slots that no other node wants now.

    Any node may use them at once: a caller that comes to one node must not be
    refused while the engines are idle. When the others want all slots there
    are none, and the shares of `capacities` bind.

    Args:
      slots: slots of all workers of the model.
      others: demand of the other nodes.
      silent: nodes whose demand is not known; an equal part is left to each.
      nodes: number of nodes.
    """
    wanted = sum(sum(demand.values()) for demand in others)
    reserved = silent * slots / max(1, nodes)
    return max(0, math.floor(slots - wanted - reserved))


def _by_rank(
    slots: int,
    totals: Mapping[tuple[int, str], float],
    floors: Mapping[int, float],
) -> dict[int, float]:
    wanted: dict[int, float] = {}
    for (priority, _team), amount in sorted(totals.items()):
        wanted[priority] = wanted.get(priority, 0) + amount
    granted = {
        priority: min(amount, floors.get(priority, 0) * slots)
        for priority, amount in wanted.items()
    }
    left = slots - sum(granted.values())
    for priority, amount in wanted.items():
        more = max(0, min(left, amount - granted[priority]))
        granted[priority] += more
        left -= more
    return granted


def _by_team(
    ranks: Mapping[int, float],
    totals: Mapping[tuple[int, str], float],
    weights: Mapping[str, float],
) -> dict[tuple[int, str], float]:
    granted: dict[tuple[int, str], float] = {}
    for priority, amount in ranks.items():
        wanted = {
            key: want for key, want in totals.items() if key[0] == priority
        }
        granted.update(_water_fill(amount, wanted, weights))
    return granted


def _water_fill(
    amount: float,
    wanted: Mapping[tuple[int, str], float],
    weights: Mapping[str, float],
) -> dict[tuple[int, str], float]:
    # Teams in order of what they want for their weight: a team that wants
    # less than its share gets all of it and leaves the rest to the others.
    order = sorted(
        wanted, key=lambda key: (wanted[key] / weights.get(key[1], 1), key)
    )
    left = amount
    weight = sum(weights.get(key[1], 1) for key in order)
    granted: dict[tuple[int, str], float] = {}
    for key in order:
        own = weights.get(key[1], 1)
        granted[key] = min(wanted[key], left * own / weight)
        left -= granted[key]
        weight -= own
    return granted


def _whole(slots: int, shares: Mapping[str, float]) -> dict[str, int]:
    if not shares or not slots:
        return dict.fromkeys(shares, 0)
    # Nodes keep one slot each, so that a small demand is served too.
    excess = {node: max(0, share - 1) for node, share in shares.items()}
    rest = max(0, slots - len(shares))
    scale = rest / max(_ENOUGH, sum(excess.values()))
    parts = {node: part * scale for node, part in excess.items()}
    whole = {node: math.floor(part + _ENOUGH) for node, part in parts.items()}
    missing = rest - sum(whole.values())
    order = sorted(
        parts,
        key=lambda node: (
            whole[node] - parts[node],
            xxhash.xxh64_intdigest(node.encode()),
        ),
    )
    for node in order[:missing]:
        whole[node] += 1
    return {node: 1 + count for node, count in whole.items()}
