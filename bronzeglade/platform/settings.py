"""The platform's settings file, decoded into the product's settings."""

import datetime as dt
from pathlib import Path

import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade.forwarding.settings import (
    Address,
    RetryBounds,
    RolloutBounds,
    RouterSettings,
    StopBounds,
)
from bronzeglade.platform.model import PlatformDocument

# How long callers may keep the addresses that they were told; the platform
# lets them keep an answer for three times its time to live.
LISTING_TTL_S = 1
_KEPT_TIMES = 3


class _Listen(PlatformDocument):
    front: str
    ready: str
    directory: str
    control: str


class _Bounds(PlatformDocument):
    grace_s: float = Field(8, alias='grace-s')
    budget_ratio: float = Field(0.2, alias='budget-ratio')
    budget_window_s: float = Field(10, alias='budget-window-s')
    budget_slack: float = Field(10, alias='budget-slack')
    expose_share: float = Field(0.1, alias='expose-share')


class _Store(PlatformDocument):
    address: str


class _File(PlatformDocument):
    name: str = Field(alias='node-name')
    zone: str
    region: str
    zones: dict[str, str]
    listen: _Listen
    # First and last of the ports for traffic between nodes.
    internal_ports: tuple[int, int] | None = Field(None, alias='internal-ports')
    seeds: tuple[str, ...] = ()
    bounds: _Bounds
    # The metadata store; the platform itself has other parts.
    platform: _Store


def read_settings(path: str) -> Result[RouterSettings, str]:
    """Read and check the settings file.

    Args:
      path: of the file.

    Returns:
      The settings, or every error by field.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        return Err(str(error))
    try:
        document = _File.model_validate_json(text)
    except pd.ValidationError as error:
        return Err(_errors(error))
    return Ok(_settings(document))


def _settings(document: _File) -> RouterSettings:
    bounds = document.bounds
    listen = document.listen
    own = _address(listen.control)
    # Without a port of their own, datagrams use the number of the control port.
    datagram_port = (document.internal_ports or own[1:])[0]
    seeds = (_address(seed) for seed in document.seeds)
    return RouterSettings(
        name=document.name,
        failure_domain=document.zone,
        region=document.region,
        failure_domains=document.zones,
        callers=_address(listen.front),
        readiness=_address(listen.ready),
        directory=_address(listen.directory),
        control=own,
        exchange=(own[0], datagram_port),
        peers=tuple(seed for seed in seeds if seed != own),
        store=_address(document.platform.address),
        retry=RetryBounds(
            bounds.budget_ratio,
            bounds.budget_slack,
            dt.timedelta(seconds=bounds.budget_window_s),
        ),
        rollout=RolloutBounds(bounds.expose_share),
        stop=StopBounds(
            dt.timedelta(seconds=bounds.grace_s),
            dt.timedelta(seconds=LISTING_TTL_S * _KEPT_TIMES),
        ),
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return host, int(port)


def _errors(error: pd.ValidationError) -> str:
    return '; '.join(
        f'{".".join(str(part) for part in one["loc"])}: {one["msg"]}'
        for one in error.errors(include_url=False, include_input=False)
    )
