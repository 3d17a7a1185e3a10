"""Tests that a part of prompts that crashes workers soon reaches none of them.

Three routers and six workers. A worker ends when it begins an answer on the
part, and is back a second later; other requests share all other parts.
"""

import itertools
import json
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from fleet.platform import Document, PlatformFleet, configuration

BAD = 'bad'
ROUTERS = ('node-1', 'node-2', 'node-3')
WORKERS = tuple(f'model-{number}' for number in range(6))
BACK_AFTER_S = 1
# Bounds of the platform: crashes until the part is known, the time until all
# routers know it, and how many requests may still reach workers after it.
KNOWN_CRASHES = 5
CONTACT_S = 3
LATE_REQUESTS = 3
# More than enough to crash as many workers while nothing keeps them away.
REQUESTS_TO_CRASH = 20


class CrashingFleet(PlatformFleet):
    """A fleet whose workers end on a part and are started again."""

    def __init__(self, folder: Path, after: str) -> None:
        """Start the routers and the workers."""
        self.worker_options = (
            '--print_runs',
            f'--crash_part={BAD}',
            f'--crash_after={after}',
        )
        super().__init__(folder)
        self.numbers = itertools.count()
        self.ending = threading.Event()
        self.put(configuration(3))
        for name in WORKERS:
            self.start_worker(name, 'models')
        for name in ROUTERS:
            self.start_router(name)
        for name in ROUTERS:
            self.wait_until_ready(name)
        self.keeper = threading.Thread(target=self._restart_workers)
        self.keeper.start()

    def close(self) -> None:
        """End the processes, and the thread that restarts workers."""
        self.ending.set()
        self.keeper.join()
        super().close()

    def ask(self, parts: str) -> int:
        """Send a request with some parts at the next router.

        Returns:
          The status; 0 if the connection was closed in the answer.
        """
        number = next(self.numbers)
        try:
            return self.send_request(
                ROUTERS[number % len(ROUTERS)],
                '/chat/x',
                f'{parts.partition(",")[0]}-{number}',
                Model='large',
                Token_Count='90,4',
                Prompt_Prefix=f'{parts},own-{number}:10',
            ).status
        except (OSError, urllib3.exceptions.HTTPError):
            return 0

    def ask_bad(self) -> int:
        """Send a request with the part, first or second."""
        first = next(self.numbers) % 2
        shared = 'shared:50'
        parts = f'{BAD}:30,{shared}' if first else f'{shared},{BAD}:30'
        return self.ask(parts)

    def ask_sound(self) -> int:
        """Send a request that shares all parts but the bad one."""
        return self.ask('shared:50,other:30')

    def bad_runs(self) -> int:
        """Return how often a worker got a request with the part."""
        return sum(
            f'{BAD}:' in run['parts']
            for name in WORKERS
            for run in self._runs(name)
        )

    def _runs(self, name: str) -> list[Document]:
        text = (self.folder / f'{name}.log').read_text()
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{')
        ]

    def _restart_workers(self) -> None:
        while not self.ending.wait(BACK_AFTER_S):
            for name in WORKERS:
                if self.processes[name].poll() is not None:
                    self.restart_worker(name, 'models')


@pytest.fixture(params=['nothing', 'head', 'event'])
def fleet(
    tmp_path: Path, request: pytest.FixtureRequest
) -> Iterator[CrashingFleet]:
    """Return a fleet whose workers end after some bytes of the answer."""
    started = CrashingFleet(tmp_path, request.param)
    try:
        yield started
    finally:
        started.close()


# Each request with the part ended up to three workers, for as long as such
# requests came, and left too few workers for the others.
def test_part_that_crashes_workers_soon_reaches_none(
    fleet: CrashingFleet,
) -> None:
    """Five crashes tell the part; all routers know it within three seconds."""
    for _ in range(6):
        assert fleet.ask_sound() == 200

    for _ in range(REQUESTS_TO_CRASH):
        fleet.ask_bad()
        fleet.ask_sound()
        if fleet.bad_runs() >= KNOWN_CRASHES:
            break
    time.sleep(CONTACT_S)
    before = fleet.bad_runs()
    statuses: list[int] = []
    for _ in range(20):
        fleet.ask_bad()
        statuses.append(fleet.ask_sound())
        statuses.append(fleet.ask_sound())
    assert fleet.bad_runs() - before <= LATE_REQUESTS
    assert statuses[20:].count(200) >= len(statuses[20:]) / 2
