"""The commands `report` and `report request`."""

import sys
from pathlib import Path
from typing import Literal

import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade import manifest as manifests
from bronzeglade import operations
from bronzeglade.manifest import Manifest
from bronzeglade.operations import (
    EXIT_FAILED,
    EXIT_SUCCESS,
    CommandResult,
    OperatorSettings,
    StatusSettings,
)
from bronzeglade.report import burn, page, request_log, samples, text
from bronzeglade.report.samples import NodePage

STANDARD_INPUT = '-'


class ReportSettings(OperatorSettings):
    """Settings of `report`."""

    style: Literal['text', 'json', 'html'] = Field(
        'text', description='Output format: text, json or html.'
    )


class _Node(pd.BaseModel):
    vm: str
    address: str
    reachable: bool


class _Nodes(pd.BaseModel):
    nodes: list[_Node]


def run(settings: ReportSettings) -> CommandResult:
    """Build the service-level burn report over all nodes.

    Args:
      settings: settings of the command.

    Returns:
      The report with exit code 0, or the errors with exit code 4 if the
      manifest or the status could not be read from any node.
    """
    manifest = _manifest(settings)
    if isinstance(manifest, Err):
        return CommandResult(EXIT_FAILED, manifest.err_value)
    status = operations.status(
        StatusSettings(
            entries=settings.entries,
            operator_key=settings.operator_key,
            call_timeout=settings.call_timeout,
            json_output=True,
        )
    )
    if status.code != EXIT_SUCCESS:
        return status
    nodes = _Nodes.model_validate_json(status.message).nodes
    pages = [_page(settings, node) for node in nodes]
    burn_report = burn.build(pages, manifest.ok_value)
    return CommandResult(EXIT_SUCCESS, _FORMATTERS[settings.style](burn_report))


_FORMATTERS = {
    'text': text.to_text,
    'json': text.to_json,
    'html': page.to_html,
}


def _manifest(settings: ReportSettings) -> Result[Manifest, str]:
    failures = ['no node returned a valid manifest']
    for address in settings.entries:
        body = operations.fetch(settings, address, '/operator/manifest')
        if isinstance(body, Ok):
            manifest, errors = manifests.parse(body.ok_value)
            if manifest is not None:
                return Ok(manifest)
            failures.extend(errors)
        else:
            failures.append(f'{address}: {body.err_value}')
    return Err('\n'.join(failures))


def _page(settings: ReportSettings, node: _Node) -> NodePage:
    body = operations.fetch(settings, node.address, '/metrics')
    if isinstance(body, Err):
        return NodePage(node.vm, error=body.err_value)
    return samples.parse(node.vm, body.ok_value.decode())


def request(request_id: str, log_file: str) -> CommandResult:
    """Return the log of a request.

    Args:
      request_id: value of the X-Request-Id header of the response.
      log_file: path of the logs of all nodes, or `-` for standard input.

    Returns:
      The messages, one per line, with exit code 0; exit code 4 if there are
      none.
    """
    if log_file == STANDARD_INPUT:
        messages = request_log.select(sys.stdin, request_id)
    else:
        with Path(log_file).open(encoding='utf-8') as lines:
            messages = request_log.select(lines, request_id)
    if not messages:
        return CommandResult(
            EXIT_FAILED, f'no log messages of request {request_id}'
        )
    return CommandResult(EXIT_SUCCESS, request_log.to_text(messages))
