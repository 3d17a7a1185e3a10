"""Collects the evidence for the checker from a fleet and its callers."""

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
from fleet.history import Call, ReportedStatus
from fleet.launch import Fleet
from fleet.operator import Operator

LEDGER_PREFIX = 'ledger/'
PAGE_SIZE = 500
POLL_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 10.0


def grants_of(document: dict[str, Any]) -> Grants:
    """Return the models and versions that each team may use.

    Args:
      document: a manifest.
    """
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
    final: Sequence[ReportedStatus] = (),
    drained: Sequence[str] = (),
) -> Evidence:
    """Collect the evidence of a run after all calls have ended.

    Polls until every completed request is billed or the time limit has passed.

    Args:
      fleet: a fleet whose faults have ended.
      operator: the operator that published during the run.
      calls: the finished calls.
      settle_s: maximum time for billing records to reach the table.
      final: configuration that each process reported at the end.
      drained: addresses of entry processes that were stopped gracefully.
    """
    deadline = time.monotonic() + settle_s
    http = urllib3.PoolManager(maxsize=8, retries=False)
    while True:
        evidence = Evidence(
            calls=calls,
            engine_runs=_engine_runs(fleet, http),
            order_runs=_order_runs(fleet, http),
            bills=read_ledger(fleet, http),
            grants=grants_of(fleet.manifest()),
            withdrawals=operator.withdrawals,
            publications=operator.publications,
            statuses=operator.statuses,
            final=final,
            drained=frozenset(drained),
            halts=operator.halts,
        )
        if not unbilled(evidence) or time.monotonic() > deadline:
            return evidence
        time.sleep(POLL_INTERVAL_S)


def read_ledger(fleet: Fleet, http: urllib3.PoolManager) -> list[Bill]:
    """Return every billing record in the table."""
    records: list[Bill] = []
    last_key = ''
    while True:
        reply = http.request(
            'POST',
            '{0}/scan'.format(fleet.urls['table']),
            json={
                'prefix': LEDGER_PREFIX,
                'limit': PAGE_SIZE,
                'after': last_key,
            },
            timeout=REQUEST_TIMEOUT_S,
        )
        rows = json.loads(reply.data)['rows']
        for row in rows:
            records.extend(bills.decode(base64.b64decode(row['body'])))
        if len(rows) < PAGE_SIZE:
            return records
        last_key = rows[-1]['key']


def _engine_runs(fleet: Fleet, http: urllib3.PoolManager) -> list[EngineRun]:
    return [
        EngineRun(
            execution['request_id'],
            execution['model'],
            execution['version'],
            execution['received_at'],
            execution['resumed_from'],
        )
        for execution in _executions(
            fleet, http, _groups(fleet.deployment, True)
        )
    ]


def _order_runs(fleet: Fleet, http: urllib3.PoolManager) -> list[OrderRun]:
    return [
        OrderRun(execution['request_id'], execution['order_id'])
        for execution in _executions(
            fleet, http, _groups(fleet.deployment, False)
        )
    ]


def _groups(deployment: Deployment, with_model: bool) -> list[str]:
    return [
        plan.group
        for plan in deployment.endpoints
        if (plan.model is not None) == with_model
    ]


def _executions(
    fleet: Fleet, http: urllib3.PoolManager, groups: Iterable[str]
) -> list[dict[str, Any]]:
    executions: list[dict[str, Any]] = []
    for group in groups:
        for program in fleet.programs_with_role(group):
            reply = http.request(
                'GET',
                f'http://{program.address}/executed',
                timeout=REQUEST_TIMEOUT_S,
            )
            executions.extend(json.loads(reply.data)['executions'])
    return executions
