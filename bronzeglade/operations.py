"""Operator commands: publish a manifest and read the status."""

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

EXIT_SUCCESS = 0
EXIT_SUPERSEDED = 1
EXIT_USAGE = 2
EXIT_UNCONFIRMED = 3
EXIT_FAILED = 4
EXIT_CODES = """Exit codes of `manifest publish`:
  0  accepted: committed and stored in two failure domains
  1  superseded: another operator published this generation first; the
     message names the operator
  2  usage error, invalid manifest or invalid operator key
  3  committed but not yet confirmed, or the outcome is unknown: repeat the
     command with the printed --publication_id
  4  not published: no node reachable, or the table is unavailable
Exit codes of `status`: 0 and 2 as above, 4 if no node responds."""

_TEXT = 'utf-8'
_HTTP_OK = 200
_HTTP_ACCEPTED = 202
_HTTP_CONFLICT = 409
_MIN_CLIENT_ERROR = 400
_MIN_SERVER_ERROR = 500


class OperatorSettings(pd.BaseModel):
    """Settings that all operator commands share."""

    model_config = pd.ConfigDict(extra='forbid', frozen=True)

    entries: Addresses = Field(
        min_length=1,
        description='Control addresses IP:PORT of nodes, tried in order.',
    )
    operator_key: str = Field(
        min_length=1, description='Operator key; the manifest lists its hash.'
    )
    call_timeout: Duration = Field(
        dt.timedelta(seconds=10), description='Timeout of a call to a node.'
    )


class PublishSettings(OperatorSettings):
    """Settings of `manifest publish`."""

    replaces: int = Field(
        ge=0,
        description='Generation that the manifest replaces; 0 for the first.',
    )
    publication_id: str = Field(
        default_factory=lambda: uuid.uuid4().hex,
        pattern='^[0-9A-Za-z._-]{1,64}$',
        description='Idempotency key of the publication; reuse it to retry.',
    )
    operator: str = Field(
        'unnamed',
        description='Operator name, reported to superseded publishers.',
    )


class StatusSettings(OperatorSettings):
    """Settings of `status`."""

    json_output: bool = Field(
        False, description='Print JSON; --json is short for it.'
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """The exit code of a command and the text to print."""

    code: int
    message: str


def publish(settings: PublishSettings, text: bytes) -> CommandResult:
    """Publish a manifest through the first node that gives a final reply.

    Args:
      settings: settings of the command.
      text: the manifest as JSON.

    Returns:
      The exit code and the text to print. The code is `EXIT_UNCONFIRMED`
      also if no reply was final and a failed call may have published the
      manifest.
    """
    manifest, errors = manifests.parse(text)
    if manifest is None:
        return CommandResult(EXIT_USAGE, '\n'.join(errors))
    pool = transport.new_pool()
    messages: list[str] = []
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
        outcome = _final_result(reply, settings.publication_id)
        if outcome is not None:
            return outcome
        unknown = unknown or not _is_known_not_run(reply)
        messages.append(f'{address}: {_describe(reply)}')
    if unknown:
        messages.append('unknown whether the manifest was published')
        messages.append(
            f'repeat with --publication_id={_publication_id(settings)}'
        )
        return CommandResult(EXIT_UNCONFIRMED, '\n'.join(messages))
    messages.append('the manifest was not published')
    return CommandResult(EXIT_FAILED, '\n'.join(messages))


def status(settings: StatusSettings) -> CommandResult:
    """Read the status of all nodes from the first node that answers.

    Args:
      settings: settings of the command.

    Returns:
      The exit code and the text to print.
    """
    pool = transport.new_pool()
    messages: list[str] = []
    for address in settings.entries:
        url = f'http://{address}/operator/status'
        reply = _call(pool, settings, ('GET', url))
        if isinstance(reply, Reply) and reply.status == _HTTP_OK:
            nodes = json.loads(reply.body)['nodes']
            if settings.json_output:
                return CommandResult(EXIT_SUCCESS, json.dumps({'nodes': nodes}))
            return CommandResult(EXIT_SUCCESS, _table(nodes))
        messages.append(f'{address}: {_describe(reply)}')
    return CommandResult(EXIT_FAILED, '\n'.join(messages))


def read_file(path: str) -> tuple[bytes, list[str]]:
    """Return the content of a file and the errors from reading it."""
    try:
        return Path(path).read_bytes(), []
    except OSError as error:
        return b'', [str(error)]


def print_result(outcome: CommandResult) -> int:
    """Print the result of a command and return its exit code.

    Results go to standard output, errors to standard error.
    """
    failed = outcome.code != EXIT_SUCCESS
    stream = sys.stderr if failed else sys.stdout
    prefix = 'error: ' if failed else ''
    for line in outcome.message.splitlines():
        stream.write(f'{prefix}{line}\n')
    return outcome.code


def fetch(
    settings: OperatorSettings, address: str, path: str
) -> Result[bytes, str]:
    """Read a page from a node's control port.

    Args:
      settings: operator key and timeout.
      address: control address of the node.
      path: path of the page, such as `/metrics`.

    Returns:
      The body, or a message that says why the call failed.
    """
    reply = _call(
        transport.new_pool(), settings, ('GET', f'http://{address}{path}')
    )
    if isinstance(reply, Reply) and reply.status == _HTTP_OK:
        return Ok(reply.body)
    return Err(_describe(reply))


def _publication_id(settings: PublishSettings) -> str:
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


def _final_result(
    reply: Reply | CallFailure, publication_id: str
) -> CommandResult | None:
    """Return the result of a final reply; None if another node may succeed."""
    if isinstance(reply, CallFailure):
        return None
    document = _document(reply)
    generation = document.get('generation')
    if reply.status == _HTTP_OK:
        return CommandResult(
            EXIT_SUCCESS, f'accepted as generation {generation}'
        )
    if reply.status == _HTTP_ACCEPTED:
        vms = [holder['vm'] for holder in document.get('holders', ())]
        names = ', '.join(vms)
        return CommandResult(
            EXIT_UNCONFIRMED,
            f'committed as generation {generation}, stored so far by {names}\n'
            f'repeat with --publication_id={publication_id}',
        )
    if reply.status == _HTTP_CONFLICT:
        winner = document.get('operator')
        return CommandResult(
            EXIT_SUPERSEDED,
            f'operator {winner!r} published first\n'
            f'start again from generation {generation}',
        )
    if _MIN_CLIENT_ERROR <= reply.status < _MIN_SERVER_ERROR:
        return CommandResult(EXIT_USAGE, _describe(reply))
    return None


def _document(reply: Reply) -> dict[str, Any]:
    try:
        document = json.loads(reply.body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _is_known_not_run(reply: Reply | CallFailure) -> bool:
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
