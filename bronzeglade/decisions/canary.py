"""The share of a new version over the time of its roll-out.

A bad version may show only under load or only after a while, and what it got
by then counts. So it gets little for most of the time, and the rest of the
traffic moves late, in steps during which a fault shows within a second.
"""

import dataclasses
import datetime as dt

import xxhash

_HASH_RANGE = float(1 << 64)


@dataclasses.dataclass(frozen=True, slots=True)
class CanarySettings:
    """Steps of a roll-out, in parts of its duration.

    Until the first step the new version gets `first_share` of the exposure
    that is allowed. Each step gives the time and the share from then on. It is
    complete at `complete_at`, so that the status is written before the
    deadline. Sessions take part from `sessions_from` on: one that is under way
    when a step comes changes its version, and only its next requests tell that
    it was under way.
    """

    first_share: float = 0.5
    steps: tuple[tuple[float, float], ...] = (
        (0.55, 0.2),
        (0.68, 0.5),
        (0.78, 1.0),
    )
    complete_at: float = 0.9
    sessions_from: float = 0.5
    # From one step to the next: the step reaches all nodes, and its evidence
    # the one that acts. A short roll-out has less, so that it ends in time.
    shortest_step: dt.timedelta = dt.timedelta(milliseconds=2400)


def share_at(
    settings: CanarySettings,
    elapsed: dt.timedelta,
    duration: dt.timedelta,
    exposure: float,
) -> float:
    """Return the share of a new version that shows no fault.

    Args:
      settings: steps.
      elapsed: since the order.
      duration: from the order to its deadline.
      exposure: share of all requests that a bad version may get.
    """
    passed = elapsed / duration
    share = settings.first_share * exposure
    for start, wanted in settings.steps:
        if passed >= start:
            share = wanted
    return share


def next_share(
    settings: CanarySettings, current: float, wanted: float
) -> float:
    """Return the next share on the way to a wanted one: one step at a time.

    Args:
      settings: steps.
      current: share now.
      wanted: share by the time that has passed.
    """
    steps = [share for _start, share in settings.steps if share > current]
    if not current or not steps:
        return max(current, wanted)
    return max(current, min(wanted, steps[0]))


def is_due(
    settings: CanarySettings, elapsed: dt.timedelta, duration: dt.timedelta
) -> bool:
    """Return whether a roll-out without a fault is complete."""
    return elapsed / duration >= settings.complete_at


def position(order: str, unit: str) -> float:
    """Return where a session or request lies in a roll-out, 0 to 1.

    Shares only rise, so a unit that got the new version gets it again.

    Args:
      order: identity of the roll-out.
      unit: identity of the session, or of a request without one.
    """
    digest = xxhash.xxh3_64_intdigest(f'{order} {unit}'.encode())
    return digest / _HASH_RANGE


def step_time(settings: CanarySettings, duration: dt.timedelta) -> dt.timedelta:
    """Return the least time from one step to the next.

    Args:
      settings: steps.
      duration: from the order to its deadline.
    """
    first = settings.steps[0][0]
    left = duration * (settings.complete_at - first)
    return min(settings.shortest_step, left // len(settings.steps))


def takes_sessions(
    settings: CanarySettings, elapsed: dt.timedelta, duration: dt.timedelta
) -> bool:
    """Return whether sessions may use the new version by now."""
    return elapsed / duration >= settings.sessions_from
