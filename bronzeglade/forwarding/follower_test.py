"""Guards that copies notice a silent store and spare a busy one."""

import datetime as dt
import random
from collections.abc import Callable

import eventlet
from result import Err, Ok, Result

from bronzeglade.adapters.feed import Changes, HistoryGone, Snapshot
from bronzeglade.adapters.table import Row, StoreError
from bronzeglade.clock import BootClock
from bronzeglade.coordination.mirror import Mirror
from bronzeglade.forwarding import builders, follower
from bronzeglade.forwarding.follower import Follower, FollowerContext


class ScriptedFeed:
    """A store whose answers are set by the test; None never answers."""

    def __init__(self) -> None:
        """Answer with an empty table."""
        self.reads = 0
        self.waits: list[dt.timedelta] = []
        self.answer: Callable[[], Result[Changes, StoreError | HistoryGone]]
        self.answer = self.silence

    def snapshot(self, table: str) -> Result[Snapshot, StoreError]:
        """Read a whole table."""
        self.reads += 1
        key = f'{table}/read-{self.reads}'
        return Ok(Snapshot(self.reads, {key: Row(key, self.reads, b'')}))

    def changes(
        self, table: str, after: int, wait: dt.timedelta
    ) -> Result[Changes, StoreError | HistoryGone]:
        """Wait for changes."""
        self.waits.append(wait)
        return self.answer()

    def silence(self) -> Result[Changes, StoreError | HistoryGone]:
        """Give no answer."""
        eventlet.sleep(60)
        return Err(StoreError('the test is over'))


def follower_of(
    feed: ScriptedFeed, nodes: int = 1
) -> tuple[Follower, list[int]]:
    """Return the follower of a table, and the versions at its changes."""
    mirror = Mirror('t', BootClock())
    seen: list[int] = []
    context = FollowerContext(
        feed,
        builders.log(),
        random.Random(1),
        lambda: nodes,
    )
    return Follower(context, mirror, lambda: seen.append(mirror.as_of)), seen


def test_lost_history_leads_to_a_whole_read() -> None:
    """Changes that the store has dropped must not be missed."""
    feed = ScriptedFeed()
    subject, seen = follower_of(feed)
    subject.follow_next()
    feed.answer = lambda: Err(HistoryGone())
    subject.follow_next()
    subject.follow_next()
    assert seen == [1, 2]
    assert list(subject.mirror.rows) == ['t/read-2']


def test_waiting_call_ends_when_another_one_has_no_answer() -> None:
    """A long wait at a silent store must not outlast the silence."""
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed)
    subject.follow_next()
    waiting = eventlet.spawn(subject.follow_next)
    eventlet.sleep(0.05)
    subject.give_up()
    with eventlet.Timeout(5):
        waiting.wait()
    assert subject.mirror.failing_since is not None
    subject.give_up()


def test_giving_up_does_not_strike_a_call_that_has_ended() -> None:
    """What follows an answered call must not be interrupted."""
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
    subject.give_up()
    with eventlet.Timeout(5):
        assert after.wait() == 'done'
    assert seen == [1, 5]


def test_calls_do_not_wait_while_the_store_is_failing() -> None:
    """A call that waits would be answered by a change after the return.

    The rows that such a change removes did not lapse during the outage.
    """
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed)
    subject.follow_next()
    feed.answer = lambda: Err(StoreError('status 503'))
    subject.follow_next()
    feed.answer = lambda: Ok(Changes(1, {}))
    subject.follow_next()
    subject.follow_next()
    none = dt.timedelta()
    assert feed.waits == [follower.LONG_WAIT, none, follower.LONG_WAIT]


def test_loss_of_one_table_is_told_to_the_others() -> None:
    """The first call that fails speaks for the whole store."""
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed)
    subject.follow_next()
    told: list[str] = []
    subject.on_loss = [lambda: told.append('lost')]
    feed.answer = lambda: Err(StoreError('status 503'))
    subject.follow_next()
    subject.follow_next()
    assert told == ['lost']


def calls_during_changes(nodes: int) -> int:
    """Return a node's calls in a second in which a row changes all the time."""
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed, nodes)
    subject.follow_next()

    def change() -> Result[Changes, StoreError | HistoryGone]:
        eventlet.sleep(0.005)
        version = subject.mirror.as_of + 1
        return Ok(Changes(version, {'t/a': Row('t/a', version, b'')}))

    feed.answer = change
    with eventlet.Timeout(1, exception=False):
        while True:
            subject.follow_next()
    return len(feed.waits)


def test_many_nodes_do_not_call_the_store_for_each_change_alone() -> None:
    """A series of changes must not cost calls for every node and change."""
    assert calls_during_changes(nodes=60) <= 4
    assert calls_during_changes(nodes=300) <= 4


def test_few_nodes_take_changes_without_delay() -> None:
    """Revoked keys and leaving endpoints must reach a small fleet at once."""
    assert calls_during_changes(nodes=4) >= 10


def test_only_one_table_looks_whether_a_lost_store_is_back() -> None:
    """A store that is down must not be called for each table of each node."""
    feed = ScriptedFeed()
    subject, _seen = follower_of(feed)
    subject.follow_next()
    probe = Mirror('s', BootClock())
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
