"""Prompt segments on which endpoints crash, from the ends of attempts.

Each endpoint that begins to answer a prompt with such a segment ends, and with
it all that it runs. An end accuses every shared segment of the prompts that the
endpoint has not survived: it had sent nothing yet, or only the beginning of an
answer. An endpoint that goes on for a while after that, or answers whole,
clears all segments of the prompt. A segment is refused once several endpoints
have ended on it, none has survived it for a while, no other segment explains
these ends better, and most ends of that time were on it: where endpoints end
for other reasons all the time, a rare segment meets several ends by chance.

Nodes exchange what they know. Merging is independent of order and repetition:
ends are identified by the process that ended, and only the newest survival
counts.
"""

import collections
import dataclasses
import datetime as dt
from collections.abc import Collection, Iterable, Mapping, Sequence

from bronzeglade.clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSettings:
    """Limits of the evidence, and of a verdict.

    A segment is refused after `verdict` crashes, unless there were more than
    `max_others` times as many others within `sound_memory` before the last one;
    of the crashes within a `moment`, `max_together` count.
    A request is not repeated after `suspicion` crashes on a segment of it. A
    prompt that was survived within `sound_memory` before a crash clears its
    segments.
    A verdict lasts for `refusal`, twice as long for each further crash;
    evidence without a verdict lasts for `forget`. News are sent for `news`, and
    all that may lead to a verdict again after `refresh`, for nodes that have
    started since.
    """

    suspicion: int = 2
    verdict: int = 4
    max_others: float = 2
    moment: dt.timedelta = dt.timedelta(milliseconds=100)
    max_together: int = 2
    sound_memory: dt.timedelta = dt.timedelta(seconds=30)
    forget: dt.timedelta = dt.timedelta(seconds=60)
    refusal: dt.timedelta = dt.timedelta(seconds=120)
    max_doublings: int = 6
    probe: dt.timedelta = dt.timedelta(seconds=10)
    news: dt.timedelta = dt.timedelta(seconds=2)
    refresh: dt.timedelta = dt.timedelta(seconds=3)
    max_news: int = 32
    max_segments: int = 256
    max_crashes: int = 12
    max_ended: int = 512
    max_sound: int = 4096
    max_shared: int = 16
    max_name_chars: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentKey:
    """A segment of the prompts to a service."""

    service: str
    name: str


@dataclasses.dataclass(slots=True)
class SegmentRecord:
    """What is known of a segment; all times are monotonic.

    `crashes` holds the times of crashes by the process that ended, `sound_at`
    is the newest survival of a prompt, and `changed_at` the last change that
    other nodes have to learn.
    """

    crashes: dict[str, dt.timedelta]
    changed_at: dt.timedelta
    sound_at: dt.timedelta | None = None
    sent_at: dt.timedelta | None = None
    probing_until: dt.timedelta | None = None

    @property
    def last_crash_at(self) -> dt.timedelta:
        """The time of the newest crash."""
        return max(self.crashes.values())


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentEvidence:
    """What a node reports of a segment: ages of crashes and of a survival."""

    key: SegmentKey
    crash_ages: Mapping[str, dt.timedelta]
    sound_age: dt.timedelta | None


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Segments that are refused together, and the evidence.

    A request is refused if its prompt holds all of them. There are several only
    while the same crashes accuse them.
    """

    names: frozenset[str]
    crashes: frozenset[str]
    until: dt.timedelta


class CrashingSegments:
    """The evidence of one node against segments, and its verdicts."""

    def __init__(self, settings: CrashSettings, clock: Clock) -> None:
        """Start without evidence.

        Args:
          settings: limits.
          clock: only its monotonic time is used.
        """
        self.settings = settings
        self.clock = clock
        self.records: dict[SegmentKey, SegmentRecord] = {}
        # Times at which processes ended, the oldest first.
        self.ended_at: dict[str, dt.timedelta] = {}
        self.sound_at: collections.OrderedDict[SegmentKey, dt.timedelta] = (
            collections.OrderedDict()
        )

    def record_sound(self, service: str, names: Iterable[str]) -> None:
        """Record that an endpoint has survived a prompt.

        Args:
          service: service of the endpoint.
          names: shared segments of the prompt.
        """
        now = self.clock.monotonic()
        for key in self._keys(service, names):
            self.sound_at[key] = now
            self.sound_at.move_to_end(key)
            record = self.records.get(key)
            if record is not None:
                self._clear(record, now)
        while len(self.sound_at) > self.settings.max_sound:
            self.sound_at.popitem(last=False)

    def record_crash(
        self, service: str, names: Iterable[str], process: str
    ) -> None:
        """Record that an endpoint ended and has not survived a prompt.

        Args:
          service: service of the endpoint.
          names: shared segments of the prompt.
          process: identifies the process of the endpoint that has ended.
        """
        now = self.clock.monotonic()
        self._record_ended(process, now)
        for key in self._keys(service, names):
            sound_at = self.sound_at.get(key)
            if sound_at is None or now - sound_at > self.settings.sound_memory:
                crash = {process: dt.timedelta()}
                self._merge(SegmentEvidence(key, crash, None), now)
        self._forget_old(now)

    def merge(self, evidence: Iterable[SegmentEvidence]) -> None:
        """Add what another node knows."""
        now = self.clock.monotonic()
        for segment in evidence:
            self._merge(segment, now)
        self._forget_old(now)

    def find_verdict(
        self, service: str, names: Sequence[str]
    ) -> Verdict | None:
        """Return the verdict that refuses a prompt, or None.

        A verdict whose time is over still refuses, except for the one request
        that `begin_probe` admits.

        Args:
          service: service that the request is for.
          names: shared segments of its prompt.
        """
        held = set(names)
        if not any(SegmentKey(service, name) in self.records for name in held):
            return None
        for verdict in self._verdicts(service):
            if verdict.names <= held:
                return verdict
        return None

    def begin_probe(self, service: str, verdict: Verdict) -> bool:
        """Return whether a request may test a verdict whose time is over.

        One request at a time may; if its endpoint survives it, the verdict
        ends, and otherwise it lasts longer.
        """
        now = self.clock.monotonic()
        if now < verdict.until:
            return False
        records = [
            self.records[SegmentKey(service, name)] for name in verdict.names
        ]
        if any(
            record.probing_until is not None and now < record.probing_until
            for record in records
        ):
            return False
        for record in records:
            record.probing_until = now + self.settings.probe
        return True

    def is_suspect(self, service: str, names: Iterable[str]) -> bool:
        """Return whether a prompt may be what ends endpoints."""
        return any(
            len(record.crashes) >= self.settings.suspicion
            and not self._is_sound(record)
            for record in map(self.records.get, self._keys(service, names))
            if record is not None
        )

    def take_news(self) -> list[SegmentEvidence]:
        """Return what to send to other nodes now."""
        now = self.clock.monotonic()
        self._forget_old(now)
        news = [
            key
            for key, record in self.records.items()
            if now - record.changed_at <= self.settings.news
            or self._needs_refresh(record, now)
        ]
        news.sort(key=self._weight, reverse=True)
        del news[self.settings.max_news :]
        for key in news:
            self.records[key].sent_at = now
        return [_evidence(key, self.records[key], now) for key in news]

    def _keys(self, service: str, names: Iterable[str]) -> list[SegmentKey]:
        settings = self.settings
        return [
            SegmentKey(service, name)
            for name in list(names)[: settings.max_shared]
            if len(name) <= settings.max_name_chars
        ]

    def _merge(self, segment: SegmentEvidence, now: dt.timedelta) -> None:
        record = self.records.get(segment.key)
        known_sound_at = self.sound_at.get(segment.key)
        if record is None:
            if known_sound_at is None and segment.sound_age is not None:
                return  # nothing is held against it here
            if not segment.crash_ages:
                return
            record = SegmentRecord({}, now)
            self.records[segment.key] = record
        for process, age in segment.crash_ages.items():
            self._record_ended(process, now - age)
            if self._add_crash(record, process, now - age):
                record.changed_at = now
        for sound_at in (
            known_sound_at,
            None if segment.sound_age is None else now - segment.sound_age,
        ):
            if sound_at is not None:
                self._clear(record, sound_at)
        if self._is_sound(record) and self._is_disputed(segment):
            # The sender has to learn that the segment is sound.
            record.changed_at = now

    def _add_crash(
        self, record: SegmentRecord, process: str, at: dt.timedelta
    ) -> bool:
        """Add a crash if it is among the newest; return whether it is new."""
        crashes = record.crashes
        if process in crashes:
            return False
        if len(crashes) >= self.settings.max_crashes:
            oldest = min(crashes, key=crashes.__getitem__)
            if at <= crashes[oldest]:
                return False
            crashes.pop(oldest)
        crashes[process] = at
        return True

    def _record_ended(self, process: str, at: dt.timedelta) -> None:
        self.ended_at.setdefault(process, at)
        if len(self.ended_at) > self.settings.max_ended:
            self.ended_at.pop(next(iter(self.ended_at)))

    def _clear(self, record: SegmentRecord, sound_at: dt.timedelta) -> None:
        was_sound = self._is_sound(record)
        if record.sound_at is None or sound_at > record.sound_at:
            record.sound_at = sound_at
        if not was_sound and self._is_sound(record):
            record.changed_at = self.clock.monotonic()

    def _is_sound(self, record: SegmentRecord) -> bool:
        if record.sound_at is None:
            return False
        cleared_from = record.sound_at + self.settings.sound_memory
        return record.last_crash_at <= cleared_from

    def _needs_refresh(self, record: SegmentRecord, now: dt.timedelta) -> bool:
        """Return whether to send a record again that may lead to a verdict."""
        settings = self.settings
        if record.sent_at is not None:
            if now - record.sent_at < settings.refresh:
                return False
        if len(record.crashes) < settings.suspicion:
            return False
        is_recent = now - record.last_crash_at <= settings.sound_memory
        return is_recent or not self._is_sound(record)

    def _is_disputed(self, segment: SegmentEvidence) -> bool:
        """Return whether the sender holds crashes against a segment."""
        if segment.sound_age is None or not segment.crash_ages:
            return bool(segment.crash_ages)
        newest = min(segment.crash_ages.values())
        return segment.sound_age - newest > self.settings.sound_memory

    def _verdicts(self, service: str) -> list[Verdict]:
        accused = {
            key.name: frozenset(record.crashes)
            for key, record in self.records.items()
            if key.service == service and not self._is_sound(record)
        }
        explained: frozenset[str] = frozenset()
        verdicts: list[Verdict] = []
        while accused:
            crashes = max(accused.values(), key=_by_size)
            if len(crashes) < self.settings.verdict:
                break
            names = frozenset(
                name for name, held in accused.items() if held == crashes
            )
            for name in names:
                accused.pop(name)
            verdict = self._verdict(service, names, crashes)
            record = self.records[SegmentKey(service, min(names))]
            times = sorted(record.crashes[process] for process in crashes)
            if self._is_convincing(times, explained | crashes):
                verdicts.append(verdict)
                explained |= crashes
                # What these segments explain is held against no other one.
                accused = {
                    name: held - crashes for name, held in accused.items()
                }
        return verdicts

    def _is_convincing(
        self, times: Sequence[dt.timedelta], explained: Collection[str]
    ) -> bool:
        """Return whether crashes are no coincidence.

        Endpoints that end at the same moment have another cause in common, and
        so do those among many others that end.

        Args:
          times: of the crashes, in ascending order.
          explained: processes whose ends these or other segments explain.
        """
        settings = self.settings
        counted: list[dt.timedelta] = []
        for at in times:
            together = [
                other for other in counted if at - other < settings.moment
            ]
            if len(together) < settings.max_together:
                counted.append(at)
        if len(counted) < settings.verdict:
            return False
        last = times[-1]
        others = sum(
            last - settings.sound_memory <= at <= last
            and process not in explained
            for process, at in self.ended_at.items()
        )
        return others <= settings.max_others * len(times)

    def _verdict(
        self, service: str, names: frozenset[str], crashes: frozenset[str]
    ) -> Verdict:
        settings = self.settings
        doublings = min(settings.max_doublings, len(crashes) - settings.verdict)
        last = max(
            self.records[SegmentKey(service, name)].last_crash_at
            for name in names
        )
        return Verdict(
            names, crashes, last + settings.refusal * (1 << doublings)
        )

    def _forget_old(self, now: dt.timedelta) -> None:
        settings = self.settings
        for key, record in list(self.records.items()):
            lifetime = settings.forget
            doublings = len(record.crashes) - settings.verdict
            if doublings >= 0 and not self._is_sound(record):
                # As long again as its verdict, so that a probe renews it.
                doublings = min(settings.max_doublings, doublings)
                lifetime = settings.refusal * (2 << doublings)
            if now - record.last_crash_at > lifetime:
                self.records.pop(key)
        excess = len(self.records) - settings.max_segments
        if excess > 0:
            for key in sorted(self.records, key=self._weight)[:excess]:
                self.records.pop(key)

    def _weight(self, key: SegmentKey) -> tuple[int, dt.timedelta]:
        record = self.records[key]
        count = 0 if self._is_sound(record) else len(record.crashes)
        return count, record.last_crash_at


def new(clock: Clock) -> CrashingSegments:
    """Return the evidence of a node that starts, with the usual limits."""
    return CrashingSegments(CrashSettings(), clock)


def _by_size(crashes: frozenset[str]) -> tuple[int, list[str]]:
    """Return a sort key that is the same on all nodes."""
    return len(crashes), sorted(crashes)


def _evidence(
    key: SegmentKey, record: SegmentRecord, now: dt.timedelta
) -> SegmentEvidence:
    sound_age = None if record.sound_at is None else now - record.sound_at
    ages = {process: now - at for process, at in record.crashes.items()}
    return SegmentEvidence(key, ages, sound_age)
