"""Model cascades in the request path.

A request to a route may run on a cheaper model first. Its answer is then rated
before it is delivered; if it is not accepted, the last step of the route
answers instead.
"""

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
from bronzeglade.entry.chat_request import ChatRequest
from bronzeglade.entry.dispatch import PreparedRequest, StartedAnswer
from bronzeglade.entry.node import Node
from bronzeglade.outcome import Refusal, RunState

DEFAULT_MAX_TOKENS = 256
# Refusals of the first step after which the last step may still answer.
ESCALATION_CODES = frozenset(('no_worker', 'engine_rejected'))


def route_plan(
    catalog: Catalog, chat: ChatRequest, steps: list[Step]
) -> RoutePlan:
    """Return the route of a request, limited to the given steps."""
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


def request_features(chat: ChatRequest) -> Features:
    """Return the features by which the answer quality is estimated."""
    return Features(
        prompt_length=sum(
            len(str(message.content)) for message in chat.messages
        ),
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
    remaining: dt.timedelta,
) -> FirstStep:
    """Return the step of a request that runs first.

    Args:
      node: state of this process.
      caller: the caller.
      chat: the request.
      steps: steps that the team may use, cheapest first.
      remaining: time until the deadline.
    """
    route = route_plan(caller.catalog, chat, steps)
    decision = node.cascade.first_step(route, request_features(chat), remaining)
    if len(steps) > 1:
        node.cascade_metrics.count_decision(route.name, decision.reason, '')
    return decision


def start(
    node: Node, prepared: PreparedRequest
) -> Result[StartedAnswer, Refusal]:
    """Start the answer that is delivered to the caller.

    An answer that is to be rated is read to its end first. If it is not
    accepted, the last step runs, and its bill includes the cost of the first.

    Args:
      node: state of this process.
      prepared: the request, with the choice for its first step.
    """
    started = _run(node, prepared)
    if not prepared.rate_before_delivery:
        return started
    if isinstance(started, Err):
        refusal = started.err_value
        if refusal.code in ESCALATION_CODES:
            return merge_run_state(
                refusal.run_state, _escalate(node, prepared, 0)
            )
        return started
    first_run = started.ok_value
    try:
        body = b''.join(first_run.answer.body())
    finally:
        dispatch.finish(node, first_run)
    if first_run.answer.complete and _rate_and_decide(node, first_run).accept:
        first_run.answer.first_events = body
        return started
    evidence.record_end(node, first_run)
    return _escalate_from(node, first_run, body)


def _escalate_from(
    node: Node, first_run: StartedAnswer, body: bytes
) -> Result[StartedAnswer, Refusal]:
    outcome = _escalate(node, first_run.prepared, total_cost(first_run))
    if isinstance(outcome, Err) and first_run.answer.complete:
        # A complete answer of lower quality is better than a refusal.
        first_run.answer.first_events = body
        return Ok(first_run)
    return merge_run_state(RunState.RAN, outcome)


def merge_run_state(
    earlier: RunState, outcome: Result[StartedAnswer, Refusal]
) -> Result[StartedAnswer, Refusal]:
    """Return an outcome whose refusal accounts for an earlier step.

    If the last step did not run, the request as a whole may still have run.

    Args:
      earlier: run state of the earlier step.
      outcome: outcome of the last step.
    """
    if isinstance(outcome, Ok) or earlier is RunState.NOT_RUN:
        return outcome
    if outcome.err_value.run_state is RunState.RAN:
        return outcome
    return Err(dataclasses.replace(outcome.err_value, run_state=earlier))


def total_cost(started: StartedAnswer) -> int:
    """Return the cost of a request in nano-dollars, earlier steps included."""
    prepared = started.prepared
    model = prepared.caller.catalog.models[prepared.choice.model]
    usage = started.answer.usage()
    own_cost = cost_of(usage, model.prompt_cost, model.completion_cost)
    return own_cost + prepared.earlier_cost


def count_unrated_extra_cost(node: Node, started: StartedAnswer) -> None:
    """Count the extra cost of a request escalated for lack of a rating.

    The extra cost is the total cost minus the cost of the same tokens on the
    cheapest step.

    Args:
      node: state of this process.
      started: a complete answer of the last step.
    """
    prepared = started.prepared
    if prepared.reason is not Reason.NO_RATING:
        return
    cheapest = prepared.caller.catalog.models[prepared.steps[0].model]
    usage = started.answer.usage()
    min_cost = cost_of(usage, cheapest.prompt_cost, cheapest.completion_cost)
    extra = max(0, total_cost(started) - min_cost)
    node.cascade_metrics.count_extra_cost(prepared.chat.model, extra)


def record_delivered_answer(node: Node, started: StartedAnswer) -> None:
    """Update the cascade's estimates from a complete, delivered answer.

    Answers of the last step are sampled for rating.
    """
    prepared = started.prepared
    node.cascade.record_duration(
        prepared.choice.model, node.clock.monotonic() - started.first_event_at
    )
    if (
        len(prepared.steps) < 2
        or prepared.choice.model != prepared.steps[-1].model
    ):
        return
    count_unrated_extra_cost(node, started)
    route = route_plan(
        prepared.caller.catalog, prepared.chat, list(prepared.steps)
    )
    features = request_features(prepared.chat)
    node.cascade.record_delivered_quality(route, None)
    node.rating_sampler.offer(
        evidence.sample_of(started),
        lambda rating: node.cascade.record_rating(
            route, route.steps[-1], features, rating
        ),
    )


def _run(
    node: Node, prepared: PreparedRequest
) -> Result[StartedAnswer, Refusal]:
    ticket = node.admission.admit(
        prepared.caller.team,
        prepared.caller.rank,
        prepared.choice.model,
        prepared.deadline,
        prepared.request.is_caller_disconnected,
    )
    if isinstance(ticket, Err):
        return ticket
    started_at = node.clock.monotonic()
    started = dispatch.start(node, prepared, ticket.ok_value)
    if isinstance(started, Ok):
        evidence.record_first_token(node, started.ok_value, started_at)
    return started


def _rate_and_decide(node: Node, first_run: StartedAnswer) -> Decision:
    prepared = first_run.prepared
    route = route_plan(
        prepared.caller.catalog, prepared.chat, list(prepared.steps)
    )
    features = request_features(prepared.chat)
    node.cascade.record_duration(
        prepared.choice.model, node.clock.monotonic() - first_run.first_event_at
    )
    remaining = prepared.deadline - node.clock.monotonic()
    limit = min(node.cascade.settings.rating_timeout, remaining)
    rating = None
    if limit > dt.timedelta():
        outcome = node.rating_service.rate(evidence.sample_of(first_run), limit)
        rating = outcome.ok()
    index = prepared.steps.index(_current_step(prepared))
    if rating is None:
        node.cascade.record_rating_failure()
    else:
        node.cascade.record_rating(route, route.steps[index], features, rating)
    remaining = prepared.deadline - node.clock.monotonic()
    decision = node.cascade.next_step(route, index, rating, features, remaining)
    if decision.accept and decision.estimate is not None:
        node.cascade.record_delivered_quality(route, decision.estimate)
    accepted = str(decision.accept).lower()
    node.cascade_metrics.count_decision(route.name, decision.reason, accepted)
    return decision


def _current_step(prepared: PreparedRequest) -> Step:
    return next(
        step for step in prepared.steps if step.model == prepared.choice.model
    )


def _escalate(
    node: Node, prepared: PreparedRequest, earlier_cost: int
) -> Result[StartedAnswer, Refusal]:
    step = prepared.steps[-1]
    choice = selection.choose(node, prepared.caller, prepared.request, step)
    if isinstance(choice, Err):
        return choice
    prepared.request.trace.set_version(
        choice.ok_value.model, choice.ok_value.version
    )
    return _run(
        node,
        dataclasses.replace(
            prepared,
            choice=choice.ok_value,
            earlier_cost=earlier_cost,
            rate_before_delivery=False,
        ),
    )
