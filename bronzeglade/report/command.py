"""The `report` commands."""

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
    EXIT_ACCEPTED,
    EXIT_NOT_PUBLISHED,
    OperatorSettings,
    StatusSettings,
    Verdict,
)
from bronzeglade.report import burn, page, samples, story, text
from bronzeglade.report.samples import NodePage

STANDARD_INPUT = '-'


class ReportSettings(OperatorSettings):
    """Settings of `report`."""

    style: Literal['text', 'json', 'html'] = Field(
        'text', description='Form of the report: text, json or html.'
    )


class _Node(pd.BaseModel):
    vm: str
    address: str
    reachable: bool


class _Nodes(pd.BaseModel):
    nodes: list[_Node]


def run(settings: ReportSettings) -> Verdict:
    """Build the service-level burn report over all nodes.

    Args:
      settings: of the command.

    Returns:
      The report, or why no node could be read; exit code 0 or 4.
    """
    manifest = _manifest(settings)
    if isinstance(manifest, Err):
        return Verdict(EXIT_NOT_PUBLISHED, manifest.err_value)
    status = operations.status(
        StatusSettings(
            entries=settings.entries,
            operator_key=settings.operator_key,
            call_timeout=settings.call_timeout,
            json_output=True,
        )
    )
    if status.code != EXIT_ACCEPTED:
        return status
    nodes = _Nodes.model_validate_json(status.message).nodes
    pages = [_page(settings, node) for node in nodes]
    built = burn.build(pages, manifest.ok_value)
    return Verdict(EXIT_ACCEPTED, _FORMS[settings.style](built))


_FORMS = {
    'text': text.to_text,
    'json': text.to_json,
    'html': page.to_html,
}


def _manifest(settings: ReportSettings) -> Result[Manifest, str]:
    problems = ['no node gave its manifest']
    for address in settings.entries:
        body = operations.fetch(settings, address, '/operator/manifest')
        if isinstance(body, Ok):
            manifest, errors = manifests.parse(body.ok_value)
            if manifest is not None:
                return Ok(manifest)
            problems.extend(errors)
        else:
            problems.append(f'{address}: {body.err_value}')
    return Err('\n'.join(problems))


def _page(settings: ReportSettings, node: _Node) -> NodePage:
    body = operations.fetch(settings, node.address, '/metrics')
    if isinstance(body, Err):
        return NodePage(node.vm, error=body.err_value)
    return samples.parse(node.vm, body.ok_value.decode())


def request(request_id: str, log_file: str) -> Verdict:
    """Return the log of one request.

    Args:
      request_id: as in the X-Request-Id header of the response.
      log_file: logs of all nodes, or `-` for standard input.

    Returns:
      One line a message, or that there is none; exit code 0 or 4.
    """
    if log_file == STANDARD_INPUT:
        messages = story.select(sys.stdin, request_id)
    else:
        with Path(log_file).open(encoding='utf-8') as lines:
            messages = story.select(lines, request_id)
    if not messages:
        return Verdict(EXIT_NOT_PUBLISHED, f'no log of request {request_id}')
    return Verdict(EXIT_ACCEPTED, story.to_text(messages))
