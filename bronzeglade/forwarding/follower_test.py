"""Tests that followers detect a lost store and limit calls to a busy one."""

import datetime as dt
import random
from collections.abc import Callable

import eventlet
import pytest
from result import Err, Ok, Result

from bronzeglade.adapters.feed import Changes, HistoryTruncated, Snapshot
from bronzeglade.adapters.table import Row, StoreError
from bronzeglade.clock import BootClock
from bronzeglade.coordination.table_mirror import TableMirror
from bronzeglade.forwarding import builders, follower
from bronzeglade.forwarding.follower import Follower, FollowerContext
from bronzeglade.forwarding.tables import Tables


class ScriptedFeed:
    """A store whose answer to `changes` is set by the test."""

    def __init__(self) -> None:
        """Start as a store that does not answer calls for changes."""
        self.reads = 0
        self.waits: list[dt.timedelta] = []
        self.answer: Callable[
            [], Result[Changes, StoreError | HistoryTruncated]
        ]
        self.answer = self.never_answer

    def snapshot(self, table: str) -> Result[Snapshot, StoreError]:
        """Return a table with one row, a different one in each read."""
        self.reads += 1
        key = f'{table}/read-{self.reads}'
        return Ok(Snapshot(self.reads, {key: Row(key, self.reads, b'')}))

    def changes(
        self, table: str, after: int, wait: dt.timedelta
    ) -> Result[Changes, StoreError | HistoryTruncated]:
        """Record the wait and return the scripted answer."""
        self.waits.append(wait)
        return self.answer()

    def never_answer(self) -> Result[Changes, StoreError | HistoryTruncated]:
        """Block for longer than a test runs."""
        eventlet.sleep(60)
        return Err(StoreError('the test is over'))


def follower_of(
    feed: ScriptedFeed, nodes: int = 1
) -> tuple[Follower, list[int]]:
    """Return a follower, and a list of the versions that it reports."""
    mirror = TableMirror('t', BootClock())
    seen: list[int] = []
    context = FollowerContext(
        feed,
        builders.log(),
        random.Random(1),
        lambda: nodes,
    )
    return Follower(context, mirror, lambda: seen.append(mirror.as_of)), seen


def test_lost_history_causes_a_new_snapshot() -> None:
    """Changes dropped from the store's history must not be lost."""
    feed = ScriptedFeed()
    subject, seen = follower_of(feed)
    subject.follow_next()
    feed.answer = lambda: Err(HistoryTruncated())
    subject.follow_next()
    subject.follow_next()
    assert seen == [1, 2]
    assert list(subject.mirror.rows) == ['t/read-2']


def test_waiting_call_ends_when_another_one_has_no_answer() -> None:
    """A long wait must not continue after the store is found lost."""
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed)
    subject.follow_next()
    waiting = eventlet.spawn(subject.follow_next)
    eventlet.sleep(0.05)
    subject.cancel_call()
    with eventlet.Timeout(5):
        waiting.wait()
    assert subject.mirror.failing_since is not None
    subject.cancel_call()


def test_waiting_call_is_made_again_when_the_store_has_moved() -> None:
    """A call at the old address could wait there for seconds, or for ever."""
    feed = ScriptedFeed()
    subject, seen = follower_of(feed)
    subject.follow_next()
    waiting = eventlet.spawn(subject.follow_next)
    eventlet.sleep(0.05)
    subject.restart_call()
    with eventlet.Timeout(5):
        waiting.wait()
    assert subject.mirror.failing_since is None
    feed.answer = lambda: Ok(Changes(7, {'t/a': Row('t/a', 7, b'')}))
    subject.follow_next()
    assert seen == [1, 7]
    subject.restart_call()


def test_cancelling_does_not_affect_a_call_that_has_returned() -> None:
    """The code that runs after an answered call must not be interrupted."""
    feed = ScriptedFeed()
    subject, seen = follower_of(feed)
    subject.follow_next()
    answered = eventlet.event.Event()
    feed.answer = answered.wait
    after = eventlet.event.Event()

    def follow() -> None:
        subject.follow_next()
        eventlet.sleep(0.05)
        after.send('done')

    eventlet.spawn(follow)
    eventlet.sleep(0)
    answered.send(Ok(Changes(5, {'t/a': Row('t/a', 5, b'')})))
    subject.cancel_call()
    with eventlet.Timeout(5):
        assert after.wait() == 'done'
    assert seen == [1, 5]


def test_calls_do_not_wait_while_the_store_is_failing() -> None:
    """A waiting call could return a change made after the outage.

    Rows removed by such a change must not be kept as lapsed in the outage.
    """
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed)
    subject.follow_next()
    feed.answer = lambda: Err(StoreError('status 503'))
    subject.follow_next()
    feed.answer = lambda: Ok(Changes(1, {}))
    subject.follow_next()
    subject.follow_next()
    no_wait = dt.timedelta()
    assert feed.waits == [follower.LONG_WAIT, no_wait, follower.LONG_WAIT]


def test_loss_of_the_store_is_reported_to_the_other_tables() -> None:
    """The first failed call of an outage is reported, and only that."""
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed)
    subject.follow_next()
    reported: list[str] = []
    subject.on_store_lost = [lambda: reported.append('lost')]
    feed.answer = lambda: Err(StoreError('status 503'))
    subject.follow_next()
    subject.follow_next()
    assert reported == ['lost']


def calls_during_changes(nodes: int) -> int:
    """Return a node's calls in one second of continuous changes."""
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed, nodes)
    subject.follow_next()

    def change() -> Result[Changes, StoreError | HistoryTruncated]:
        eventlet.sleep(0.005)
        version = subject.mirror.as_of + 1
        return Ok(Changes(version, {'t/a': Row('t/a', version, b'')}))

    feed.answer = change
    with eventlet.Timeout(1, exception=False):
        while True:
            subject.follow_next()
    return len(feed.waits)


def test_many_nodes_do_not_call_the_store_for_each_change_alone() -> None:
    """A series of changes must not cost one call per node and change."""
    assert calls_during_changes(nodes=60) <= 4
    assert calls_during_changes(nodes=300) <= 4


def test_few_nodes_receive_changes_without_delay() -> None:
    """Revoked keys and departures must reach a small fleet immediately."""
    assert calls_during_changes(nodes=4) >= 10


def test_only_one_table_probes_a_lost_store() -> None:
    """A lost store must not be called for every table of every node."""
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed)
    subject.follow_next()
    probe = TableMirror('s', BootClock())
    subject.probe = probe
    feed.answer = lambda: Err(StoreError('status 503'))
    subject.follow_next()
    probe.record_failure()
    calls = len(feed.waits)
    subject.follow_next()
    subject.follow_next()
    assert len(feed.waits) == calls
    probe.record_success()
    subject.follow_next()
    assert len(feed.waits) == calls + 1


def test_change_whose_handler_fails_is_reported_again() -> None:
    """A change was lost until the next one if its handler failed once."""
    feed = ScriptedFeed()
    subject, seen = follower_of(feed)
    handled = subject.on_change

    def fail() -> None:
        raise RuntimeError('failed on one row')

    subject.on_change = fail
    with pytest.raises(RuntimeError):
        subject.follow_next()
    feed.answer = lambda: Ok(Changes(2, {'t/b': Row('t/b', 2, b'')}))
    with pytest.raises(RuntimeError):
        subject.follow_next()
    # The rows are followed all the same, and without a further change the
    # handler gets them with the next answer.
    assert list(subject.mirror.rows) == ['t/read-1', 't/b']
    subject.on_change = handled
    feed.answer = lambda: Ok(Changes(2, {}))
    subject.follow_next()
    subject.follow_next()
    assert seen == [2]


def test_other_nodes_get_rows_that_a_handler_fails_on() -> None:
    """Nodes that poll this one waited for changes that it had already."""
    tables = Tables(builders.documents(), BootClock())

    def fail() -> None:
        raise RuntimeError('failed on one row')

    waiting = tables.copy_source.changed
    with pytest.raises(RuntimeError):
        tables._with_notification(fail)()
    assert waiting.ready()
