"""Share of traffic for a candidate version during its timed roll-out.

A bad version may fail only under load or only after a while, and the requests
it received by then count as exposure. So it gets a small share for most of the
duration. The remaining traffic moves late, in steps during which a fault is
detected within a second.
"""

import dataclasses
import datetime as dt
from collections.abc import Sequence

import xxhash

_HASH_RANGE = float(1 << 64)
# Start of each step as a fraction of the duration, and the share from then on.
Steps = Sequence[tuple[float, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class CanarySettings:
    """Schedule of a roll-out, in fractions of its duration.

    Until the first step the candidate gets `initial_exposure_fraction` of the
    allowed exposure as its share. The roll-out completes at `complete_at`, so
    that its status is written before the deadline.

    Sessions are included from `sessions_from` on. A step may change the version
    of a session in progress, and only later requests of the session reveal that
    it was in progress. Where sessions make up most of the work, the candidate
    gives its first answers only after `sessions_from`. So the first step
    follows shortly afterwards and lasts long enough to judge the candidate.

    The last step leaves some work to the control version: without control
    answers from the same time, a platform fault cannot be distinguished from a
    bad candidate.
    """

    initial_exposure_fraction: float = 0.5
    # Fraction of the exposure that may be used before the second step.
    early_exposure_fraction: float = 0.5
    steps: Steps = (
        (0.52, 0.2),
        (0.68, 0.5),
        (0.82, 0.95),
    )
    complete_at: float = 0.92
    sessions_from: float = 0.5
    # Allows a step to reach all nodes, and its evidence to reach the node that
    # advances the roll-out. Short roll-outs use less, to complete in time.
    min_step_time: dt.timedelta = dt.timedelta(milliseconds=2400)


def share_at(
    settings: CanarySettings,
    elapsed: dt.timedelta,
    duration: dt.timedelta,
    exposure: float,
    spent: float | None = None,
) -> float:
    """Return the scheduled share of a candidate without faults.

    Args:
      settings: schedule.
      elapsed: time since the roll-out was ordered.
      duration: time from the order to its deadline.
      exposure: maximum fraction of all requests that a bad version may get.
      spent: as for `steps_for`.
    """
    elapsed_fraction = elapsed / duration
    share = settings.initial_exposure_fraction * exposure
    for start, step_share in steps_for(settings, exposure, spent):
        if elapsed_fraction >= start:
            share = step_share
    return share


def steps_for(
    settings: CanarySettings, exposure: float, spent: float | None = None
) -> Steps:
    """Return the steps, adjusted to the exposure that was used so far.

    Before the second step the candidate may use `early_exposure_fraction` of
    the exposure. Sessions are excluded at first, so some of it may be unused.
    It raises the share of the first step, which reveals a bad version sooner.

    Args:
      settings: schedule; its shares are the minimum.
      exposure: maximum fraction of all requests that a bad version may get.
      spent: requests of the candidate so far, as a fraction of the requests
        over the whole duration; None when unknown.
    """
    (start, min_share), (end, max_share), *later = settings.steps
    share = min_share
    if spent is not None:
        remaining = settings.early_exposure_fraction * exposure - spent
        share = min(max_share, max(min_share, remaining / (end - start)))
    return (start, share), (end, max_share), *later


def next_share(steps: Steps, current: float, scheduled: float) -> float:
    """Return the next share towards the scheduled one, without skipping steps.

    Args:
      steps: starts and shares, from `steps_for`.
      current: current share.
      scheduled: share by elapsed time, from `share_at`.
    """
    following = [share for _start, share in steps if share > current]
    if not current or not following:
        return max(current, scheduled)
    return max(current, min(scheduled, following[0]))


def is_due(
    settings: CanarySettings, elapsed: dt.timedelta, duration: dt.timedelta
) -> bool:
    """Return whether a roll-out without faults is due for completion."""
    return elapsed / duration >= settings.complete_at


def position(order: str, unit: str) -> float:
    """Hash a session or request to a fixed number from 0 to 1.

    A session or request is assigned to the candidate when this number is below
    the current share. Shares only rise, so it keeps the candidate from then on.

    Args:
      order: identity of the roll-out.
      unit: identity of the session, or of a request without one.
    """
    digest = xxhash.xxh3_64_intdigest(f'{order} {unit}'.encode())
    return digest / _HASH_RANGE


def step_time(settings: CanarySettings, duration: dt.timedelta) -> dt.timedelta:
    """Return the minimum time between two steps.

    Args:
      settings: schedule.
      duration: time from the order to its deadline.
    """
    last_start = settings.steps[-1][0]
    last_step_time = duration * (settings.complete_at - last_start)
    return min(settings.min_step_time, last_step_time)


def includes_sessions(
    settings: CanarySettings, elapsed: dt.timedelta, duration: dt.timedelta
) -> bool:
    """Return whether sessions may use the candidate at this time."""
    return elapsed / duration >= settings.sessions_from
