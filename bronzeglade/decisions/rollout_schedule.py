"""Share of traffic for a candidate version during its timed roll-out.

A bad version may fail only under load or only after a while, and the requests
it received by then count as exposure. So its share stays small until the
remaining traffic moves, shortly before completion. Most of that share goes to
few of the candidate's endpoints, so that each of these bears the load of a full
share.
"""

import dataclasses
import datetime as dt

import xxhash

_HASH_RANGE = float(1 << 64)


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """The last steps of a roll-out, in fractions of its duration.

    Attributes:
      early_exposure_fraction: part of the exposure that may be used before the
        last step.
      max_early_share: highest share before the last step.
      last_step_at: start of the last step.
      complete_at: when the roll-out completes, so that its status is written
        before the deadline. Then all requests count as exposure.
    """

    early_exposure_fraction: float
    max_early_share: float
    last_step_at: float
    complete_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CanarySettings:
    """Schedule of a roll-out, in fractions of its duration.

    Until the first step the candidate gets `initial_exposure_fraction` of the
    allowed exposure as its share.

    Sessions are included from `sessions_from` on. A step may change the version
    of a session in progress, and only later requests of the session reveal that
    it was in progress. Where sessions make up most of the work, the candidate
    gives its first answers only after `sessions_from`. So the first step
    follows shortly afterwards and lasts long enough to judge the candidate.

    In a load test, few endpoints get the fraction `load_test_fraction` of the
    candidate's work. The others get the rest, since a single slow endpoint is
    no evidence about its version.

    The last step leaves some work to the control version: without control
    answers from the same time, a platform fault cannot be distinguished from a
    bad candidate.
    """

    initial_exposure_fraction: float = 0.5
    # Bounds of the share of the first step, and of the second one. A rise of
    # the traffic shows after the first step only.
    min_early_share: float = 0.1
    max_first_share: float = 0.35
    # Shares of both steps where many requests come: the evidence of many nodes
    # takes seconds, and then their share of the exposure is not what counts.
    large_first_share: float = 0.2
    large_second_share: float = 0.35
    # Smaller rises of a share are not worth a step.
    min_share_ratio: float = 1.25
    load_test_fraction: float = 0.85
    first_step_at: float = 0.5
    second_step_at: float = 0.66
    last_share: float = 0.95
    calm: Pace = Pace(0.36, 0.5, 0.875, 0.925)
    # Under load the test needs more of the exposure, on few endpoints, and
    # steps take longer.
    loaded: Pace = Pace(0.65, 0.35, 0.84, 0.92)
    # Nodes report their requests more often during this time before the first
    # step.
    counting_time: float = 0.15
    # A candidate that is suspect then is rolled back: it cannot complete before
    # the deadline.
    give_up_at: float = 0.97
    # Minimum time at the last share.
    min_last_step: float = 0.05
    sessions_from: float = 0.5
    # Allows a step to reach all nodes, and its evidence to reach the node that
    # advances the roll-out. Short roll-outs use less, to complete in time.
    min_step_time: dt.timedelta = dt.timedelta(milliseconds=2400)


@dataclasses.dataclass(frozen=True, slots=True)
class Exposure:
    """Requests that a bad version may get until the deadline, and has got.

    Attributes:
      allowed: maximum number of requests from the order to the deadline.
      spent: requests of the candidate so far.
      requests: requests of the service, both versions together, that the
        present traffic makes during the whole roll-out.
      elapsed_fraction: elapsed time as a fraction of the duration.
      is_large: whether so many requests come that the shares are fixed.
    """

    allowed: float
    spent: float
    requests: float
    elapsed_fraction: float
    is_large: bool = False


def share_at(
    settings: CanarySettings,
    pace: Pace,
    elapsed_fraction: float,
    allowed_fraction: float,
    exposure: Exposure | None = None,
) -> float:
    """Return the scheduled share of a candidate without faults.

    Args:
      settings: schedule.
      pace: the last steps.
      elapsed_fraction: elapsed time since the order, as a fraction of the
        duration.
      allowed_fraction: maximum fraction of all requests for a bad version.
      exposure: as for `early_share`.
    """
    if elapsed_fraction >= pace.last_step_at:
        return settings.last_share
    if elapsed_fraction < settings.first_step_at:
        return settings.initial_exposure_fraction * allowed_fraction
    is_second = elapsed_fraction >= settings.second_step_at
    if exposure is not None and exposure.is_large:
        return (
            settings.large_second_share
            if is_second
            else settings.large_first_share
        )
    max_share = pace.max_early_share if is_second else settings.max_first_share
    return early_share(settings, pace, exposure, max_share)


def needs_counts(settings: CanarySettings, elapsed_fraction: float) -> bool:
    """Return whether the first step will soon need the present traffic.

    Args:
      settings: schedule.
      elapsed_fraction: elapsed fraction of the roll-out's duration.
    """
    begin = settings.first_step_at - settings.counting_time
    return begin <= elapsed_fraction < settings.first_step_at


def early_share(
    settings: CanarySettings,
    pace: Pace,
    exposure: Exposure | None,
    max_share: float,
) -> float:
    """Return the share of a step before the last one.

    Sessions are excluded at first, so some of the exposure that may be used
    before the last step is unused. It raises the share, which reveals a bad
    version sooner.

    Args:
      settings: schedule.
      pace: the last steps.
      exposure: exposure that is allowed and used; None when unknown.
      max_share: highest share of the step.
    """
    if exposure is None:
        return settings.min_early_share
    early = pace.early_exposure_fraction * exposure.allowed
    requests = exposure.requests * (
        pace.last_step_at - exposure.elapsed_fraction
    )
    unused_share = (early - exposure.spent) / max(1, requests)
    return min(max_share, max(settings.min_early_share, unused_share))


def tested_endpoints(
    settings: CanarySettings, share: float, endpoints: int
) -> int:
    """Return how many endpoints of the candidate bear its load test.

    Args:
      settings: schedule.
      share: the candidate's share of new work.
      endpoints: number of the candidate's endpoints.
    """
    if share >= settings.last_share:
        return endpoints
    return max(1, int(share * endpoints))


def next_share(
    settings: CanarySettings, current: float, scheduled: float
) -> float:
    """Return the next share, without skipping the steps before the last one.

    Args:
      settings: schedule.
      current: current share.
      scheduled: share by elapsed time, from `share_at`.
    """
    if not current:
        return min(scheduled, settings.max_first_share)
    if scheduled >= settings.last_share:
        if current < settings.min_early_share:
            return settings.min_early_share
        return scheduled
    if scheduled < current * settings.min_share_ratio:
        return current
    return scheduled


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
    return min(settings.min_step_time, duration * settings.min_last_step)


def includes_sessions(
    settings: CanarySettings, elapsed: dt.timedelta, duration: dt.timedelta
) -> bool:
    """Return whether sessions may use the candidate at this time."""
    return elapsed / duration >= settings.sessions_from
