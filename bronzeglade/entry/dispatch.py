"""Start of a request on a worker, with retries before the first token."""

import dataclasses
import datetime as dt

from result import Err, Ok, Result

from bronzeglade import catalog as catalogs
from bronzeglade.adapters import engine as engines
from bronzeglade.entry.access import Caller
from bronzeglade.entry.admission import Ticket
from bronzeglade.entry.answer import Answer
from bronzeglade.entry.completion import ChatRequest
from bronzeglade.entry.http import Request
from bronzeglade.entry.node import Node
from bronzeglade.entry.selection import Choice
from bronzeglade.entry.workers import Worker, serving_model
from bronzeglade.manifest import VersionState
from bronzeglade.outcome import Refusal, RunState

MAX_ATTEMPTS = 3
RETRY_AFTER = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A checked request with the version that is to answer it."""

    request: Request
    caller: Caller
    chat: ChatRequest
    choice: Choice
    deadline: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A stream whose first event has arrived."""

    work: Work
    worker: Worker
    answer: Answer
    ticket: Ticket


def start(node: Node, work: Work, ticket: Ticket) -> Result[Started, Refusal]:
    """Start a request on a worker and wait for its first event.

    Args:
      node: state of this process.
      work: checked request.
      ticket: leave to run; released here when no worker answers.

    Returns:
      The started answer, or a refusal with status 503 or 504.
    """
    tried: set[str] = set()
    for _attempt in range(MAX_ATTEMPTS):
        workers = [
            worker
            for worker in serving_model(
                node.workers, work.choice.model, work.choice.version
            )
            if worker.vm not in tried
        ]
        late = node.clock.monotonic() >= work.deadline
        if not workers or late or withdrawal(node, work) is not None:
            break
        worker = choose_worker(node, workers)
        tried.add(worker.vm)
        answer = _try_worker(node, work, worker)
        if answer is not None:
            return Ok(Started(work, worker, answer, ticket))
    node.admission.leave(ticket)
    return Err(_failure(node, work, bool(tried)))


def _failure(node: Node, work: Work, tried: bool) -> Refusal:
    state = RunState.UNKNOWN if tried else RunState.NOT_RUN
    if node.clock.monotonic() >= work.deadline:
        message = 'the deadline passed before the first token'
        return Refusal(504, 'deadline_exceeded', message, state)
    withdrawn = withdrawal(node, work)
    if withdrawn is not None:
        return Refusal(503, 'version_withdrawn', withdrawn, state, RETRY_AFTER)
    message = f'no worker of {work.choice.model!r} answered'
    return Refusal(503, 'no_worker', message, state, RETRY_AFTER)


def choose_worker(node: Node, workers: list[Worker]) -> Worker:
    """Choose the worker with the fewest requests of this node."""
    node.random.shuffle(workers)
    return min(workers, key=lambda one: node.in_flight.get(one.vm, 0))


def _try_worker(node: Node, work: Work, worker: Worker) -> Answer | None:
    left = work.deadline - node.clock.monotonic()
    stream = engines.open_stream(
        node.pool,
        worker.address,
        engines.EngineRequest(
            work.request.request_id,
            work.chat.engine_body(work.choice.model, work.choice.version),
            work.caller.rank.priority,
        ),
        engines.stream_timeout(node.settings.connect_timeout, left),
    )
    if isinstance(stream, Err):
        return None
    node.in_flight[worker.vm] = node.in_flight.get(worker.vm, 0) + 1
    answer = Answer(stream.ok_value, work.request.request_id)
    if answer.read_first():
        return answer
    _close(node, worker, answer)
    return None


def withdrawal(node: Node, work: Work) -> str | None:
    """Return why the chosen version may not receive this work now, or None.

    A request keeps the manifest that it started with, but what a newer one
    has withdrawn receives no new work, not even a retry.

    Args:
      node: state of this process.
      work: checked request.
    """
    catalog = node.catalog or work.caller.catalog
    choice = work.choice
    state = catalogs.version_state(catalog, choice.model, choice.version)
    if state is VersionState.WITHDRAWN:
        return f'version {choice.version!r} of {choice.model!r} is withdrawn'
    granted = any(
        team.name == work.caller.team.name
        and catalogs.is_granted(team, choice.model, choice.version)
        for team in catalog.manifest.teams
    )
    if granted:
        return None
    name = work.caller.team.name
    return f'team {name!r} may no longer use {choice.model!r}'


def finish(node: Node, started: Started) -> None:
    """Close an answer and return its ticket."""
    _close(node, started.worker, started.answer)
    node.admission.leave(started.ticket)


def _close(node: Node, worker: Worker, answer: Answer) -> None:
    answer.close()
    node.in_flight[worker.vm] -= 1
