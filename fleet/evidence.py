"""Collects what a verdict rests on from the stand-ins of a fleet."""

import base64
import json
import time
from collections.abc import Iterable, Sequence
from typing import Any

import urllib3

from bronzeglade.coordination import bill as bills
from bronzeglade.coordination.bill import Bill
from fleet.checker import EngineRun, Evidence, Grants, OrderRun, unbilled
from fleet.deployments import Deployment
from fleet.history import Call, StatusSeen
from fleet.launch import Fleet
from fleet.operator import Operator

LEDGER_PREFIX = 'ledger/'
PAGE_ROWS = 500
POLL_S = 1.0
CALL_S = 10.0


def grants_of(document: dict[str, Any]) -> Grants:
    """Return the models and versions that each team of a manifest may use."""
    versions = {
        model['name']: [version['name'] for version in model['versions']]
        for model in document['models']
    }
    return {
        team['name']: frozenset(
            (grant['model'], version)
            for grant in team['grants']
            for version in versions[grant['model']]
            if {'*', version} & set(grant.get('versions', ['*']))
        )
        for team in document['teams']
    }


def collect(
    fleet: Fleet,
    operator: Operator,
    calls: Sequence[Call],
    settle_s: float,
    final: Sequence[StatusSeen] = (),
    drained: Sequence[str] = (),
) -> Evidence:
    """Gather the evidence when the callers' last calls have ended.

    Args:
      fleet: a fleet whose faults have ended.
      operator: who published.
      calls: what callers saw.
      settle_s: how long records may take to reach the ledger.
      final: configuration of each process at the end.
      drained: entry processes that were stopped gracefully.
    """
    limit = time.monotonic() + settle_s
    http = urllib3.PoolManager(maxsize=8, retries=False)
    while True:
        evidence = Evidence(
            calls=calls,
            engine_runs=_engine_runs(fleet, http),
            order_runs=_order_runs(fleet, http),
            bills=ledger(fleet, http),
            grants=grants_of(fleet.manifest()),
            withdrawals=operator.withdrawals,
            publications=operator.publications,
            statuses=operator.statuses,
            final=final,
            drained=frozenset(drained),
        )
        if not unbilled(evidence) or time.monotonic() > limit:
            return evidence
        time.sleep(POLL_S)


def ledger(fleet: Fleet, http: urllib3.PoolManager) -> list[Bill]:
    """Return every billing record in the table."""
    found: list[Bill] = []
    after = ''
    while True:
        reply = http.request(
            'POST',
            '{0}/scan'.format(fleet.urls['table']),
            json={'prefix': LEDGER_PREFIX, 'limit': PAGE_ROWS, 'after': after},
            timeout=CALL_S,
        )
        rows = json.loads(reply.data)['rows']
        for row in rows:
            found.extend(bills.decode(base64.b64decode(row['body'])))
        if len(rows) < PAGE_ROWS:
            return found
        after = rows[-1]['key']


def _engine_runs(fleet: Fleet, http: urllib3.PoolManager) -> list[EngineRun]:
    return [
        EngineRun(
            one['request_id'],
            one['model'],
            one['version'],
            one['received_at'],
            one['resumed_from'],
        )
        for one in _executed(fleet, http, _groups(fleet.deployment, True))
    ]


def _order_runs(fleet: Fleet, http: urllib3.PoolManager) -> list[OrderRun]:
    return [
        OrderRun(one['request_id'], one['order_id'])
        for one in _executed(fleet, http, _groups(fleet.deployment, False))
    ]


def _groups(deployment: Deployment, with_model: bool) -> list[str]:
    return [
        plan.group
        for plan in deployment.endpoints
        if (plan.model is not None) == with_model
    ]


def _executed(
    fleet: Fleet, http: urllib3.PoolManager, groups: Iterable[str]
) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    for group in groups:
        for program in fleet.of_role(group):
            reply = http.request(
                'GET', f'http://{program.address}/executed', timeout=CALL_S
            )
            found.extend(json.loads(reply.data)['executions'])
    return found
