"""The share of a new version over the time of its roll-out.

A bad version may show only under load or only after a while, and what it got
by then counts. So it gets little for most of the time, and the rest of the
traffic moves late, in steps during which a fault shows within a second.
"""

import dataclasses
import datetime as dt
from collections.abc import Sequence

import xxhash

_HASH_RANGE = float(1 << 64)
# Part of the duration from which on a share holds, and the share.
Steps = Sequence[tuple[float, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class CanarySettings:
    """Steps of a roll-out, in parts of its duration.

    Until the first step the new version gets `first_share` of the exposure
    that is allowed. Each step gives the time and the share from then on. It is
    complete at `complete_at`, so that the status is written before the
    deadline. Sessions take part from `sessions_from` on: one that is under way
    when a step comes changes its version, and only its next requests tell that
    it was under way. Where most work belongs to sessions, the first answers of
    the new version come then, so the first step follows at once and lasts long
    enough to judge it. The last step leaves some work to the old version:
    without answers of the same time a fault of the platform cannot be told
    from a bad version.
    """

    first_share: float = 0.5
    early_part: float = 0.5  # of the exposure, until the second step
    steps: Steps = (
        (0.52, 0.2),
        (0.68, 0.5),
        (0.82, 0.95),
    )
    complete_at: float = 0.92
    sessions_from: float = 0.5
    # From one step to the next: the step reaches all nodes, and its evidence
    # the one that acts. A short roll-out has less, so that it ends in time.
    shortest_step: dt.timedelta = dt.timedelta(milliseconds=2400)


def share_at(
    settings: CanarySettings,
    elapsed: dt.timedelta,
    duration: dt.timedelta,
    exposure: float,
    spent: float | None = None,
) -> float:
    """Return the share of a new version that shows no fault.

    Args:
      settings: steps.
      elapsed: since the order.
      duration: from the order to its deadline.
      exposure: share of all requests that a bad version may get.
      spent: as of `steps_for`.
    """
    passed = elapsed / duration
    share = settings.first_share * exposure
    for start, wanted in steps_for(settings, exposure, spent):
        if passed >= start:
            share = wanted
    return share


def steps_for(
    settings: CanarySettings, exposure: float, spent: float | None = None
) -> Steps:
    """Return times and shares, for what the new version had so far.

    Until the second step it may get `early_part` of the exposure. What
    sessions left of that goes into the first step, where it tells a bad
    version sooner.

    Args:
      settings: the least shares.
      exposure: share of all requests that a bad version may get.
      spent: part of the requests of the whole duration that the new version
        had so far; None when it is not known.
    """
    (start, least), (end, most), *later = settings.steps
    share = least
    if spent is not None:
        left = settings.early_part * exposure - spent
        share = min(most, max(least, left / (end - start)))
    return (start, share), (end, most), *later


def next_share(steps: Steps, current: float, wanted: float) -> float:
    """Return the next share on the way to a wanted one: one step at a time.

    Args:
      steps: times and shares, as of `steps_for`.
      current: share now.
      wanted: share by the time that has passed.
    """
    following = [share for _start, share in steps if share > current]
    if not current or not following:
        return max(current, wanted)
    return max(current, min(wanted, following[0]))


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
    last = settings.steps[-1][0]
    left = duration * (settings.complete_at - last)
    return min(settings.shortest_step, left)


def takes_sessions(
    settings: CanarySettings, elapsed: dt.timedelta, duration: dt.timedelta
) -> bool:
    """Return whether sessions may use the new version by now."""
    return elapsed / duration >= settings.sessions_from
