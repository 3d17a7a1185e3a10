"""HTTP calls with time limits, as values instead of exceptions."""

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

# A connection that has fallen silent is found by probes of the kernel: after a
# second, two probes a second apart; or by bytes that stay unacknowledged.
PROBES = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
LARGEST_REPLY = 16 * 1024 * 1024  # bytes; a larger reply is a failure


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole HTTP reply."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without a reply.

    `sent` is false only when the request surely never left this process.
    """

    sent: bool
    detail: str


def new_pool(connections: int = 64) -> urllib3.PoolManager:
    """Return a connection pool that never retries by itself."""
    return urllib3.PoolManager(
        num_pools=256,
        maxsize=connections,
        retries=False,
        socket_options=list(PROBES),
    )


def call(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    timeout: dt.timedelta,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    connect_timeout: dt.timedelta | None = None,
) -> Result[Reply, CallFailure]:
    """Make one HTTP call and read the whole reply.

    Args:
      pool: connections to use.
      method: HTTP method.
      url: absolute URL.
      timeout: limit on connecting and on each read.
      body: request body.
      headers: request headers.
      connect_timeout: shorter limit on connecting; a call that exceeds it
        surely never left.

    Returns:
      The reply of any status, or why there is none.
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
        return Err(failure_of(error))
    return _read(response)


def _read(response: urllib3.BaseHTTPResponse) -> Result[Reply, CallFailure]:
    try:
        body = response.read(LARGEST_REPLY + 1)
    except HTTPError as error:
        response.close()
        return Err(CallFailure(sent=True, detail=str(error)))
    if len(body) > LARGEST_REPLY:
        response.close()
        return Err(CallFailure(sent=True, detail='the reply is too large'))
    response.release_conn()
    return Ok(Reply(response.status, dict(response.headers), body))


def failure_of(error: HTTPError) -> CallFailure:
    """Tell whether a failed request can have reached the other side.

    Args:
      error: what urllib3 raised.

    Returns:
      A failure; `sent` is false only when no connection was made.
    """
    cause = error.reason if isinstance(error, MaxRetryError) else error
    unsent = isinstance(cause, NewConnectionError | ConnectTimeoutError)
    return CallFailure(sent=not unsent, detail=str(cause))
