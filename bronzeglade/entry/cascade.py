"""Cascades in the request path: try, rate, accept or escalate."""

import dataclasses
import datetime as dt

from result import Err, Ok, Result

from bronzeglade.catalog import Catalog, Step
from bronzeglade.coordination.bill import cost_of
from bronzeglade.decisions.cascade import (
    Decision,
    Features,
    FirstStep,
    Reason,
    RoutePlan,
    RouteStep,
)
from bronzeglade.entry import dispatch, evidence, selection
from bronzeglade.entry.access import Caller
from bronzeglade.entry.completion import ChatRequest
from bronzeglade.entry.dispatch import Started, Work
from bronzeglade.entry.node import Node
from bronzeglade.outcome import Refusal, RunState

DEFAULT_MAX_TOKENS = 256
# Refusals after which a more expensive model may still answer.
ESCALATED_CODES = frozenset(('no_worker', 'engine_rejected'))


def plan(catalog: Catalog, chat: ChatRequest, steps: list[Step]) -> RoutePlan:
    """Return the route of a request with the steps that the team may use."""
    route = catalog.routes.get(chat.model)
    prices = [
        (step, catalog.models[step.model].completion_cost) for step in steps
    ]
    return RoutePlan(
        chat.model,
        route.quality_target if route else 1,
        tuple(
            RouteStep(step.model, max(price, 1), step.accept_rating)
            for step, price in prices
        ),
    )


def features(chat: ChatRequest) -> Features:
    """Return what is known of a request before it runs."""
    return Features(
        prompt_length=sum(len(str(one.content)) for one in chat.messages),
        max_tokens=chat.max_completion_tokens
        or chat.max_tokens
        or DEFAULT_MAX_TOKENS,
        messages=len(chat.messages),
        tools=bool(chat.tools),
    )


def first_step(
    node: Node,
    caller: Caller,
    chat: ChatRequest,
    steps: list[Step],
    left: dt.timedelta,
) -> FirstStep:
    """Return the step of a request's target that runs first.

    Args:
      node: state of this process.
      caller: who asks.
      chat: the request.
      steps: steps that the team may use, cheapest first.
      left: time to the deadline.
    """
    route = plan(caller.catalog, chat, steps)
    first = node.cascade.first_step(route, features(chat), left)
    if len(steps) > 1:
        node.cascade_metrics.decided(route.name, first.reason, '')
    return first


def start(node: Node, work: Work) -> Result[Started, Refusal]:
    """Start the answer that the caller gets.

    An answer that is to be rated is read whole before it is returned; when
    it is not accepted, the next step runs and its bill includes the cost of
    the first run.

    Args:
      node: state of this process.
      work: a request with the choice of its first step.

    Returns:
      The started answer, or a refusal.
    """
    started = _run(node, work)
    if not work.rated:
        return started
    if isinstance(started, Err):
        refusal = started.err_value
        if refusal.code in ESCALATED_CODES:
            return refused_after(refusal.run_state, _escalate(node, work, 0))
        return started
    tried = started.ok_value
    try:
        body = b''.join(tried.answer.body())
    finally:
        dispatch.finish(node, tried)
    if tried.answer.complete and _decide(node, tried).accept:
        tried.answer.first = body
        return started
    evidence.ended(node, tried)
    return _escalated(node, tried, body)


def _escalated(
    node: Node, tried: Started, body: bytes
) -> Result[Started, Refusal]:
    outcome = _escalate(node, tried.work, cost(tried))
    if isinstance(outcome, Err) and tried.answer.complete:
        # A whole answer of lower quality is better than none.
        tried.answer.first = body
        return Ok(tried)
    return refused_after(RunState.RAN, outcome)


def refused_after(
    earlier: RunState, outcome: Result[Started, Refusal]
) -> Result[Started, Refusal]:
    """Return an outcome whose refusal counts an earlier run of the request.

    A later step that did not run must not say `not_run` for the whole request.
    """
    if isinstance(outcome, Ok) or earlier is RunState.NOT_RUN:
        return outcome
    if outcome.err_value.run_state is RunState.RAN:
        return outcome
    return Err(dataclasses.replace(outcome.err_value, run_state=earlier))


def cost(started: Started) -> int:
    """Return the cost of a run and of the runs before it, nano-dollars."""
    work = started.work
    model = work.caller.catalog.models[work.choice.model]
    usage = started.answer.usage()
    own = cost_of(usage, model.prompt_cost, model.completion_cost)
    return own + work.earlier_cost


def count_quality_first(node: Node, started: Started) -> None:
    """Count what a run cost more for want of ratings.

    Args:
      node: state of this process.
      started: a complete answer of the last step.
    """
    work = started.work
    if work.reason is not Reason.NO_RATING:
        return
    cheapest = work.caller.catalog.models[work.steps[0].model]
    usage = started.answer.usage()
    least = cost_of(usage, cheapest.prompt_cost, cheapest.completion_cost)
    extra = max(0, cost(started) - least)
    node.cascade_metrics.paid_for_quality(work.chat.model, extra)


def learn(node: Node, started: Started) -> None:
    """Learn from a complete answer that went to its caller.

    Args:
      node: state of this process.
      started: the answer; one of the last step is rated now and then.
    """
    work = started.work
    node.cascade.record_duration(
        work.choice.model, node.clock.monotonic() - started.at
    )
    if len(work.steps) < 2 or work.choice.model != work.steps[-1].model:
        return
    count_quality_first(node, started)
    route = plan(work.caller.catalog, work.chat, list(work.steps))
    known = features(work.chat)
    node.cascade.record_delivered_quality(route, None)
    node.rating_sampler.offer(
        evidence.sample_of(started),
        lambda rating: node.cascade.rated(
            route, route.steps[-1], known, rating
        ),
    )


def _run(node: Node, work: Work) -> Result[Started, Refusal]:
    ticket = node.admission.enter(
        work.caller.team,
        work.caller.rank,
        work.choice.model,
        work.deadline,
        work.request.has_caller_left,
    )
    if isinstance(ticket, Err):
        return ticket
    began = node.clock.monotonic()
    started = dispatch.start(node, work, ticket.ok_value)
    if isinstance(started, Ok):
        evidence.first_token(node, started.ok_value, began)
    return started


def _decide(node: Node, tried: Started) -> Decision:
    work = tried.work
    route = plan(work.caller.catalog, work.chat, list(work.steps))
    known = features(work.chat)
    node.cascade.record_duration(
        work.choice.model, node.clock.monotonic() - tried.at
    )
    left = work.deadline - node.clock.monotonic()
    limit = min(node.cascade.settings.rating_timeout, left)
    rating = None
    if limit > dt.timedelta():
        outcome = node.rating_service.rate(evidence.sample_of(tried), limit)
        rating = outcome.ok()
    index = work.steps.index(_step_of(work))
    if rating is None:
        node.cascade.record_rating_failure()
    else:
        node.cascade.rated(route, route.steps[index], known, rating)
    left = work.deadline - node.clock.monotonic()
    decision = node.cascade.next_step(route, index, rating, known, left)
    if decision.accept and decision.estimate is not None:
        node.cascade.record_delivered_quality(route, decision.estimate)
    accepted = str(decision.accept).lower()
    node.cascade_metrics.decided(route.name, decision.reason, accepted)
    return decision


def _step_of(work: Work) -> Step:
    return next(step for step in work.steps if step.model == work.choice.model)


def _escalate(
    node: Node, work: Work, earlier_cost: int
) -> Result[Started, Refusal]:
    step = work.steps[-1]
    choice = selection.choose(node, work.caller, work.request, step)
    if isinstance(choice, Err):
        return choice
    work.request.trace.set_version(
        choice.ok_value.model, choice.ok_value.version
    )
    return _run(
        node,
        dataclasses.replace(
            work,
            choice=choice.ok_value,
            earlier_cost=earlier_cost,
            rated=False,
        ),
    )
