"""Guards whom a node suspects: the silent, unless it could not hear them."""

import datetime as dt

from bronzeglade.builders import ManualClock
from bronzeglade.coordination.presence import (
    Expected,
    Presence,
    PresenceSettings,
)

SECOND = dt.timedelta(seconds=1)
OTHERS = {'a': Expected(0), 'b': Expected(0)}


def turns(
    presence: Presence, clock: ManualClock, seconds: int, heard: str = ''
) -> list[str]:
    """Return the suspects after some turns in which one node is heard."""
    suspects: list[str] = []
    for _ in range(seconds):
        clock.advance(SECOND)
        if heard:
            presence.heard(heard)
        suspects = presence.suspects(OTHERS)
    return suspects


def test_silent_node_is_a_suspect_in_time() -> None:
    """Callers are sent to its address until then."""
    clock = ManualClock()
    presence = Presence(PresenceSettings(), clock)
    assert turns(presence, clock, 8, heard='a') == []
    assert turns(presence, clock, 1, heard='a') == ['b']


def test_node_that_did_not_run_suspects_nobody_at_once() -> None:
    """It has not read yet what the others have sent meanwhile."""
    clock = ManualClock()
    presence = Presence(PresenceSettings(), clock)
    turns(presence, clock, 5, heard='a')
    clock.advance(20 * SECOND)
    presence.heard('a')
    assert presence.suspects(OTHERS) == []
    assert turns(presence, clock, 7, heard='a') == []
    assert turns(presence, clock, 1, heard='a') == ['b']


def test_node_that_hears_nobody_suspects_nobody() -> None:
    """It may be the one that is cut off."""
    clock = ManualClock()
    presence = Presence(PresenceSettings(), clock)
    assert turns(presence, clock, 100) == []


def test_node_that_came_back_has_to_be_silent_for_longer() -> None:
    """A node that only the store hears would come and go for ever."""
    clock = ManualClock()
    presence = Presence(PresenceSettings(), clock)
    expected = {'a': Expected(0), 'b': Expected(0, rejoins=2)}
    for _ in range(32):
        clock.advance(SECOND)
        presence.heard('a')
        assert presence.suspects(expected) == []
    clock.advance(SECOND)
    presence.heard('a')
    assert presence.suspects(expected) == ['b']
