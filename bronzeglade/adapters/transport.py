"""HTTP calls with time limits that return failures as values."""

import dataclasses
import datetime as dt
import socket
from collections.abc import Mapping

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

# Detects dead connections in the kernel: keepalive probes begin after 1 s of
# silence, and a connection fails after 2 unanswered probes 1 s apart, or when
# sent bytes stay unacknowledged for 2.5 s.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
MAX_REPLY_BYTES = 16 * 1024 * 1024  # a larger reply is a failure
_FIRST_ERROR_STATUS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP reply."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without a complete reply.

    `sent` is false only when the request certainly never left this process.
    """

    sent: bool
    detail: str


def new_pool(connections: int = 64) -> urllib3.PoolManager:
    """Return a connection pool that does not retry requests.

    Args:
      connections: maximum number of connections kept for each host.
    """
    return urllib3.PoolManager(
        num_pools=256,
        maxsize=connections,
        retries=False,
        socket_options=list(SOCKET_OPTIONS),
    )


def call(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    timeout: dt.timedelta,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    connect_timeout: dt.timedelta | None = None,
    keep_failed: bool = True,
) -> Result[Reply, CallFailure]:
    """Make one HTTP call and read the whole reply.

    Args:
      pool: connections to use.
      method: HTTP method.
      url: absolute URL.
      timeout: limit on connecting and on each read.
      body: request body.
      headers: request headers.
      connect_timeout: shorter limit on connecting; a request that exceeds it
        was not sent.
      keep_failed: whether a connection is kept after a reply with an error
        status. A faulty server may repeat that reply on it, as the reply to
        the next request.

    Returns:
      The reply, whatever its status, or the failure.
    """
    limit = timeout.total_seconds()
    connect = min(limit, (connect_timeout or timeout).total_seconds())
    try:
        response = pool.request(
            method,
            url,
            body=body,
            headers=dict(headers or {}),
            timeout=urllib3.Timeout(connect=connect, read=limit),
            preload_content=False,
            redirect=False,
        )
    except HTTPError as error:
        return Err(classify_error(error))
    connection = response.connection
    reply = _read(response)
    failed = response.status >= _FIRST_ERROR_STATUS
    if failed and not keep_failed and connection is not None:
        # The pool has the connection back once the body has been read.
        connection.close()
    return reply


def _read(response: urllib3.BaseHTTPResponse) -> Result[Reply, CallFailure]:
    try:
        body = response.read(MAX_REPLY_BYTES + 1)
    except HTTPError as error:
        response.close()
        return Err(CallFailure(sent=True, detail=str(error)))
    if len(body) > MAX_REPLY_BYTES:
        response.close()
        return Err(CallFailure(sent=True, detail='reply exceeds 16 MiB'))
    response.release_conn()
    return Ok(Reply(response.status, dict(response.headers), body))


def classify_error(error: HTTPError) -> CallFailure:
    """Return the failure that an exception of urllib3 stands for.

    Args:
      error: raised by the request.

    Returns:
      The failure; `sent` is false only when no connection was established.
    """
    cause = error.reason if isinstance(error, MaxRetryError) else error
    unsent = isinstance(cause, NewConnectionError | ConnectTimeoutError)
    return CallFailure(sent=not unsent, detail=str(cause))
