"""Guards the fault schedule: a soak that skips faults proves too little."""

import random

from fleet.faults import WITHDRAWAL, schedule


def test_every_kind_comes_and_the_rate_is_kept() -> None:
    """Faults come at the given rate and a version is withdrawn once."""
    kinds = ['a', 'b', 'c', WITHDRAWAL]
    faults = schedule(kinds, 600, 10, random.Random(1))
    assert 80 <= len(faults) <= 120
    names = [fault.kind for fault in faults]
    assert names.count(WITHDRAWAL) == 1
    assert set(names[:3]) == {'a', 'b', 'c'}
    assert faults == schedule(kinds, 600, 10, random.Random(1))
