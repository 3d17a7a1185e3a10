"""Decoding of the platform's settings file into the router's settings."""

import datetime as dt
from pathlib import Path
from typing import Annotated

import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade.forwarding import address
from bronzeglade.forwarding.settings import (
    Address,
    ColdBounds,
    MachineLimits,
    RetryBounds,
    RolloutBounds,
    RouterSettings,
    StopBounds,
)
from bronzeglade.platform.model import PlatformDocument

# Time to live of the addresses that the directory returns. The platform allows
# callers to keep an answer for three times its time to live.
DIRECTORY_TTL_S = 1
_MAX_AGE_FACTOR = 3


# Keeps durations within the range of timedelta arithmetic.
_MAX_NUMBER = 1e9
_MEGABYTE = 1024 * 1024
# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
_Number = Annotated[float, Field(ge=0, le=_MAX_NUMBER)]


def _parse_address(text: object) -> Address:
    parsed = address.parse(text) if isinstance(text, str) else None
    if parsed is None:
        raise ValueError('not an address')
    return parsed


_Address = Annotated[Address, pd.BeforeValidator(_parse_address)]
_Port = Annotated[int, Field(gt=0, le=address.MAX_PORT)]


class _Listen(PlatformDocument):
    front: _Address
    ready: _Address
    directory: _Address
    control: _Address


class _Bounds(PlatformDocument):
    grace_s: _Number = Field(8, alias='grace-s')
    budget_ratio: _Number = Field(0.2, alias='budget-ratio')
    budget_window_s: _Number = Field(10, alias='budget-window-s')
    budget_slack: _Number = Field(10, alias='budget-slack')
    expose_share: _Number = Field(0.1, alias='expose-share')
    expose_slack: _Number = Field(0, alias='expose-slack')
    cold_over: _Number | None = Field(None, alias='cold-over')
    cold_slack: _Number = Field(0, alias='cold-slack')


class _MachineLimits(PlatformDocument):
    memory_mb: _Number | None = Field(None, alias='memory-mb')
    max_fds: int | None = Field(None, alias='max-fds', ge=0)


class _Store(PlatformDocument):
    address: _Address


class _File(PlatformDocument):
    name: str = Field(alias='node-name')
    zone: str
    region: str
    zones: dict[str, str]
    listen: _Listen
    # First and last port for traffic between nodes.
    internal_ports: tuple[_Port, _Port] | None = Field(
        None, alias='internal-ports'
    )
    seeds: tuple[_Address, ...] = ()
    limits: _MachineLimits = _MachineLimits.model_construct()
    bounds: _Bounds
    # The section `platform` holds the address of the metadata store only.
    platform: _Store


def read_settings(path: str) -> Result[RouterSettings, str]:
    """Read and validate the settings file.

    Args:
      path: path of the file.

    Returns:
      The settings, or all errors with the fields that they concern.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        return Err(str(error))
    try:
        document = _File.model_validate_json(text)
    except pd.ValidationError as error:
        return Err(_format_errors(error))
    return Ok(_decode_settings(document))


def _decode_settings(document: _File) -> RouterSettings:
    bounds = document.bounds
    listen = document.listen
    control = listen.control
    # Without internal ports, datagrams use the number of the control port.
    datagram_port = (document.internal_ports or control[1:])[0]
    return RouterSettings(
        name=document.name,
        failure_domain=document.zone,
        region=document.region,
        failure_domains=document.zones,
        callers=listen.front,
        readiness=listen.ready,
        directory=listen.directory,
        control=control,
        exchange=(control[0], datagram_port),
        peers=tuple(seed for seed in document.seeds if seed != control),
        store=document.platform.address,
        retry=RetryBounds(
            bounds.budget_ratio,
            bounds.budget_slack,
            dt.timedelta(seconds=bounds.budget_window_s),
        ),
        rollout=RolloutBounds(bounds.expose_share, bounds.expose_slack),
        stop=StopBounds(
            dt.timedelta(seconds=bounds.grace_s),
            dt.timedelta(seconds=DIRECTORY_TTL_S * _MAX_AGE_FACTOR),
        ),
        cold=(
            None
            if bounds.cold_over is None
            else ColdBounds(bounds.cold_over, bounds.cold_slack)
        ),
        machine=_decode_machine(document.limits),
    )


def _decode_machine(limits: _MachineLimits) -> MachineLimits:
    memory = limits.memory_mb
    sockets = limits.max_fds
    return MachineLimits(
        None if memory is None else int(memory * _MEGABYTE),
        None if sockets is None else max(1, sockets - _FILE_DESCRIPTORS),
    )


def _format_errors(error: pd.ValidationError) -> str:
    return '; '.join(
        f'{".".join(str(key) for key in detail["loc"])}: {detail["msg"]}'
        for detail in error.errors(include_url=False, include_input=False)
    )
