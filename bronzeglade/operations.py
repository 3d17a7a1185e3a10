"""Commands of operators: publish a manifest and read the status."""

import dataclasses
import datetime as dt
import json
import sys
import uuid
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pydantic as pd
import urllib3
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade import manifest as manifests
from bronzeglade.adapters import transport
from bronzeglade.adapters.transport import CallFailure, Reply
from bronzeglade.settings import Addresses, Duration

EXIT_ACCEPTED = 0
EXIT_SUPERSEDED = 1
EXIT_USAGE = 2
EXIT_UNCONFIRMED = 3
EXIT_NOT_PUBLISHED = 4
EXIT_CODES = """Exit codes of `manifest publish`:
  0  accepted: committed and held in two failure domains
  1  another publication won the generation; the message names it
  2  wrong call, invalid manifest or operator key
  3  committed but not confirmed, or the outcome is not known: repeat the
     command with the printed --publication_id
  4  surely not published: no node or no table can be reached
Exit codes of `status`: 0, 2 as above, 4 when no node responds."""

_TEXT = 'utf-8'
_ACCEPTED = 200
_COMMITTED = 202
_CONFLICT = 409
_FIRST_CLIENT_ERROR = 400
_FIRST_SERVER_ERROR = 500


class OperatorSettings(pd.BaseModel):
    """Settings of the commands of operators."""

    model_config = pd.ConfigDict(extra='forbid', frozen=True)

    entries: Addresses = Field(
        min_length=1,
        description='Control addresses ip:port; the next is tried on failure.',
    )
    operator_key: str = Field(
        min_length=1, description='Key that the manifest names for operators.'
    )
    call_timeout: Duration = Field(
        dt.timedelta(seconds=10), description='Time limit of a call to a node.'
    )


class PublishSettings(OperatorSettings):
    """Settings of `manifest publish`."""

    replaces: int = Field(
        ge=0, description='Generation that the manifest replaces; first is 0.'
    )
    publication_id: str = Field(
        default_factory=lambda: uuid.uuid4().hex,
        pattern='^[0-9A-Za-z._-]{1,64}$',
        description='Identity of the publication; repeat it to retry safely.',
    )
    operator: str = Field(
        'unnamed', description='Name that others see when this one wins.'
    )


class StatusSettings(OperatorSettings):
    """Settings of `status`."""

    json_output: bool = Field(
        False, description='Print JSON; --json is the same.'
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """An exit code and what to print."""

    code: int
    message: str


def publish(settings: PublishSettings, text: bytes) -> Verdict:
    """Publish a manifest through the first node that answers.

    Args:
      settings: of the command.
      text: the manifest.

    Returns:
      The exit code and what to print.
    """
    manifest, errors = manifests.parse(text)
    if manifest is None:
        return Verdict(EXIT_USAGE, '\n'.join(errors))
    pool = transport.new_pool()
    problems: list[str] = []
    unknown = False
    for address in settings.entries:
        reply = _call(
            pool,
            settings,
            ('POST', f'http://{address}/operator/manifest'),
            text,
            {
                'X-Replaces-Generation': str(settings.replaces),
                'X-Publication-Id': settings.publication_id,
                'X-Operator': settings.operator,
            },
        )
        verdict = _judge(reply, settings.publication_id)
        if verdict is not None:
            return verdict
        unknown = unknown or not _surely_not_run(reply)
        problems.append(f'{address}: {_describe(reply)}')
    if unknown:
        problems.append('it is not known whether the manifest was published')
        problems.append(f'repeat with --publication_id={_id(settings)}')
        return Verdict(EXIT_UNCONFIRMED, '\n'.join(problems))
    problems.append('the manifest was not published')
    return Verdict(EXIT_NOT_PUBLISHED, '\n'.join(problems))


def status(settings: StatusSettings) -> Verdict:
    """Read the status of all nodes from the first one that answers.

    Args:
      settings: of the command.

    Returns:
      The exit code and what to print.
    """
    pool = transport.new_pool()
    problems: list[str] = []
    for address in settings.entries:
        url = f'http://{address}/operator/status'
        reply = _call(pool, settings, ('GET', url))
        if isinstance(reply, Reply) and reply.status == _ACCEPTED:
            nodes = json.loads(reply.body)['nodes']
            if settings.json_output:
                return Verdict(EXIT_ACCEPTED, json.dumps({'nodes': nodes}))
            return Verdict(EXIT_ACCEPTED, _table(nodes))
        problems.append(f'{address}: {_describe(reply)}')
    return Verdict(EXIT_NOT_PUBLISHED, '\n'.join(problems))


def read_file(path: str) -> tuple[bytes, list[str]]:
    """Return the content of a file, or the error of reading it."""
    try:
        return Path(path).read_bytes(), []
    except OSError as error:
        return b'', [str(error)]


def show(verdict: Verdict) -> int:
    """Print a verdict and return its exit code."""
    failed = verdict.code != EXIT_ACCEPTED
    stream = sys.stderr if failed else sys.stdout
    prefix = 'error: ' if failed else ''
    for line in verdict.message.splitlines():
        stream.write(f'{prefix}{line}\n')
    return verdict.code


def fetch(
    settings: OperatorSettings, address: str, path: str
) -> Result[bytes, str]:
    """Read a page of a node's control port.

    Args:
      settings: key and time limit.
      address: control address of the node.
      path: such as `/metrics`.

    Returns:
      The body, or why there is none.
    """
    reply = _call(
        transport.new_pool(), settings, ('GET', f'http://{address}{path}')
    )
    if isinstance(reply, Reply) and reply.status == _ACCEPTED:
        return Ok(reply.body)
    return Err(_describe(reply))


def _id(settings: PublishSettings) -> str:
    return settings.publication_id


def _call(
    pool: urllib3.PoolManager,
    settings: OperatorSettings,
    target: tuple[str, str],
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply | CallFailure:
    method, url = target
    answer = transport.call(
        pool,
        method,
        url,
        settings.call_timeout,
        body,
        {'Authorization': f'Bearer {settings.operator_key}', **(headers or {})},
    )
    return answer.err_value if isinstance(answer, Err) else answer.ok_value


def _judge(reply: Reply | CallFailure, publication_id: str) -> Verdict | None:
    """Return the verdict of a final reply; None when another node may do."""
    if isinstance(reply, CallFailure):
        return None
    document = _document(reply)
    generation = document.get('generation')
    if reply.status == _ACCEPTED:
        return Verdict(EXIT_ACCEPTED, f'accepted as generation {generation}')
    if reply.status == _COMMITTED:
        holders = [one['vm'] for one in document.get('holders', ())]
        names = ', '.join(holders)
        return Verdict(
            EXIT_UNCONFIRMED,
            f'committed as generation {generation}, held so far by {names}\n'
            f'repeat with --publication_id={publication_id}',
        )
    if reply.status == _CONFLICT:
        winner = document.get('operator')
        return Verdict(
            EXIT_SUPERSEDED,
            f'operator {winner!r} published first\n'
            f'start again from generation {generation}',
        )
    if _FIRST_CLIENT_ERROR <= reply.status < _FIRST_SERVER_ERROR:
        return Verdict(EXIT_USAGE, _describe(reply))
    return None


def _document(reply: Reply) -> dict[str, Any]:
    try:
        document = json.loads(reply.body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _surely_not_run(reply: Reply | CallFailure) -> bool:
    if isinstance(reply, CallFailure):
        return not reply.sent
    error = _document(reply).get('error') or {}
    return bool(error.get('run_state') == 'not_run')


def _describe(reply: Reply | CallFailure) -> str:
    if isinstance(reply, CallFailure):
        return reply.detail
    document = _document(reply)
    if document.get('errors'):
        return '\n'.join(map(str, document['errors']))
    error = document.get('error') or {}
    return str(error.get('message', f'status {reply.status}'))


def _table(nodes: Sequence[dict[str, Any]]) -> str:
    rows = [('VM', 'DOMAIN', 'GENERATION', 'DIGEST', 'CONFIRMED', 'STATE')]
    rows.extend(_row(node) for node in nodes)
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def _row(node: dict[str, Any]) -> tuple[str, str, str, str, str, str]:
    names = str(node['vm']), str(node['failure_domain'])
    if not node['reachable']:
        return (*names, '-', '-', '-', 'not reachable')
    age = node['confirmed_age_s']
    state = 'draining' if node['draining'] else 'serving'
    return (
        *names,
        str(node['generation']),
        str(node['digest'])[:12],
        'never' if age is None else f'{age:.0f} s ago',
        f'{state}, {node["staleness"]}',
    )
