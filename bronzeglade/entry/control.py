"""The WSGI application for operators, peers and metrics scrapers."""

import dataclasses
import uuid

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from result import Err, Ok

from bronzeglade import catalog as catalogs
from bronzeglade import manifest as manifests
from bronzeglade.catalog import Configuration
from bronzeglade.coordination.datagram import MAX_NAME_LENGTH
from bronzeglade.coordination.head import (
    Published,
    PublicationIdReused,
    Superseded,
    OutcomeUnknown,
)
from bronzeglade.entry import http, status
from bronzeglade.entry.access import NOT_READY
from bronzeglade.entry.http import Request, Response
from bronzeglade.entry.node import Node
from bronzeglade.entry.peers import PEER_PREFIX
from bronzeglade.outcome import Refusal, RunState


def handle(node: Node, request: Request) -> Response:
    """Handle a request on the control port."""
    route = (request.method, request.path)
    if route == ('GET', '/metrics'):
        return Response(
            200,
            (generate_latest(node.telemetry.registry),),
            {'Content-Type': CONTENT_TYPE_LATEST},
        )
    if route == ('POST', '/operator/manifest'):
        return _publish(node, request)
    if route == ('GET', '/operator/manifest'):
        return _manifest(node, request)
    if route == ('GET', '/operator/status'):
        return _status(node, request)
    if request.method == 'POST' and request.path.startswith(PEER_PREFIX):
        return _handle_peer_call(node, request)
    message = f'no such route: {request.method} {request.path}'
    return http.refuse(Refusal(404, 'not_found', message), request.request_id)


def _handle_peer_call(node: Node, request: Request) -> Response:
    body = http.read_body(request, node.settings)
    if isinstance(body, Err):
        return http.refuse(body.err_value, request.request_id)
    name = request.path[len(PEER_PREFIX) :]
    reply = node.peers.receive(name, body.ok_value)
    if isinstance(reply, Err):
        refusal = Refusal(401, 'peer_refused', reply.err_value)
        return http.refuse(refusal, request.request_id)
    length = str(len(reply.ok_value))
    return Response(200, (reply.ok_value,), {'Content-Length': length})


def _manifest(node: Node, request: Request) -> Response:
    """Return the active manifest; 404 before the first one."""
    if node.catalog is None:
        refusal = Refusal(404, 'no_configuration', 'no manifest is active')
        return http.refuse(refusal, request.request_id)
    key_refusal = _operator_refusal(node, request, node.catalog.manifest)
    if key_refusal is not None:
        return http.refuse(key_refusal, request.request_id)
    configuration = node.catalog.configuration
    return Response(
        200,
        (configuration.text,),
        {
            'Content-Type': 'application/json',
            'Content-Length': str(len(configuration.text)),
            'X-Generation': str(configuration.generation),
        },
    )


def _publish(node: Node, request: Request) -> Response:
    body = http.read_body(request, node.settings)
    if isinstance(body, Err):
        return http.refuse(body.err_value, request.request_id)
    text = body.ok_value
    manifest, errors = manifests.parse(text)
    if manifest is None:
        return http.json_response({'errors': errors}, 422)
    refusal = _operator_refusal(node, request, manifest)
    if refusal is not None:
        return http.refuse(refusal, request.request_id)
    replaces = request.header('X-Replaces-Generation') or ''
    if not replaces.isdecimal():
        message = 'X-Replaces-Generation: expected the generation to replace'
        refusal = Refusal(422, 'no_generation', message)
        return http.refuse(refusal, request.request_id)
    publication_id = request.header('X-Publication-Id') or uuid.uuid4().hex
    operator = request.header('X-Operator') or 'unnamed'
    if max(len(publication_id), len(operator)) > MAX_NAME_LENGTH:
        message = (
            'X-Publication-Id, X-Operator: '
            f'at most {MAX_NAME_LENGTH} characters'
        )
        refusal = Refusal(422, 'name_too_long', message)
        return http.refuse(refusal, request.request_id)
    published = Published(
        Configuration(int(replaces) + 1, catalogs.digest_of(text), text),
        publication_id,
        operator,
    )
    if node.catalog is None and published.configuration.generation > 1:
        # Only the first manifest may authorize its own publication.
        refusal = dataclasses.replace(
            NOT_READY, retry_after=node.settings.head_poll_interval
        )
        return http.refuse(refusal, request.request_id)
    return _commit(node, request, published)


def _operator_refusal(
    node: Node, request: Request, manifest: manifests.Manifest
) -> Refusal | None:
    # The first manifest is authorized by its own operator keys.
    active = node.catalog.manifest if node.catalog else manifest
    if catalogs.is_operator_key(active, request.bearer_key()):
        return None
    return Refusal(401, 'invalid_operator_key', 'the key is not valid')


def _commit(node: Node, request: Request, published: Published) -> Response:
    outcome = node.distribution.commit(published)
    if isinstance(outcome, Ok):
        return _commit_response(node, outcome.ok_value)
    error = outcome.err_value
    if isinstance(error, Superseded):
        return http.json_response(
            {'status': 'superseded', **dataclasses.asdict(error)}, 409
        )
    if isinstance(error, PublicationIdReused):
        refusal = Refusal(422, 'publication_id_reused', error.detail)
        return http.refuse(refusal, request.request_id)
    may_be_committed = isinstance(error, OutcomeUnknown)
    state = RunState.UNKNOWN if may_be_committed else RunState.NOT_RUN
    refusal = Refusal(
        503,
        'table_unavailable',
        error.detail,
        state,
        node.settings.head_poll_interval,
    )
    return http.refuse(refusal, request.request_id)


def _commit_response(node: Node, published: Published) -> Response:
    configuration = published.configuration
    accepted = node.distribution.wait_accepted(configuration.generation)
    holders = node.publication.holders_of(configuration.generation)
    document = {
        'status': 'accepted' if accepted else 'committed',
        'generation': configuration.generation,
        'digest': configuration.digest,
        'publication_id': published.publication_id,
        'current_generation': node.generation(),
        'holders': [
            {'vm': holder.vm, 'failure_domain': holder.failure_domain}
            for holder in holders
        ],
    }
    return http.json_response(document, 200 if accepted else 202)


def _status(node: Node, request: Request) -> Response:
    if node.catalog is not None and not catalogs.is_operator_key(
        node.catalog.manifest, request.bearer_key()
    ):
        refusal = Refusal(401, 'invalid_operator_key', 'the key is not valid')
        return http.refuse(refusal, request.request_id)
    if request.query == 'scope=node':
        return http.json_response({'nodes': [status.of_node(node)]})
    return http.json_response({'nodes': status.of_all(node)})
