"""Tests of decoding and validating the settings file."""

import datetime as dt
import json
from pathlib import Path
from typing import Any

import pytest
from result import Ok, Result

from bronzeglade import malformed
from bronzeglade.forwarding.settings import (
    ColdBounds,
    MachineLimits,
    RouterSettings,
)
from bronzeglade.platform.settings import read_settings

FILE: dict[str, Any] = {
    'node-name': 'node-1',
    'zone': 'a',
    'region': 'r',
    'zones': {'a': 'r', 'b': 'r'},
    'listen': {
        'front': '10.0.0.1:80',
        'ready': '10.0.0.1:81',
        'directory': '10.0.0.1:82',
        'control': '10.0.0.1:83',
    },
    'internal-ports': [7000, 7015],
    'seeds': ['10.0.0.1:83', '10.0.0.2:83'],
    'bounds': {'grace-s': 8, 'budget-ratio': 0.9, 'expose-share': 0.15},
    'platform': {'address': '10.9.0.1:90'},
}


def read(folder: Path, without: str = '') -> Result[RouterSettings, str]:
    """Read the settings file, without one field if `without` is set."""
    document = {name: field for name, field in FILE.items() if name != without}
    path = folder / 'settings.json'
    path.write_text(json.dumps(document))
    return read_settings(str(path))


def test_file_is_decoded(tmp_path: Path) -> None:
    """Each address is decoded into its field; none may be swapped."""
    settings = read(tmp_path).unwrap()
    assert settings.callers == ('10.0.0.1', 80)
    assert settings.control == ('10.0.0.1', 83)
    assert settings.exchange == ('10.0.0.1', 7000)
    assert settings.peers == (('10.0.0.2', 83),)
    assert settings.retry.ratio == pytest.approx(0.9)


def test_internal_ports_are_optional(tmp_path: Path) -> None:
    """Without internal ports the node still starts, on the control port."""
    settings = read(tmp_path, 'internal-ports').unwrap()
    assert settings.exchange == ('10.0.0.1', 83)


@pytest.mark.parametrize('name', ['node-name', 'listen', 'platform'])
def test_missing_field_is_named(name: str, tmp_path: Path) -> None:
    """A missing required field is an error that names the field."""
    assert name in read(tmp_path, name).unwrap_err()


def test_file_with_one_malformed_value(tmp_path: Path) -> None:
    """An address without a port ended the start with a traceback."""
    path = tmp_path / 'settings.json'
    for body in malformed.json_variants(FILE):
        path.write_bytes(body)
        outcome = read_settings(str(path))
        if isinstance(outcome, Ok):
            settings = outcome.ok_value
            assert settings.stop.grace + settings.retry.window >= dt.timedelta()
            assert settings.rollout.share >= 0
            for _host, port in (settings.callers, *settings.peers):
                assert 0 < port < 65536


@pytest.mark.parametrize('text', ['10.0.0.1', '10.0.0.1:', ':80', 'h:99999'])
def test_malformed_address_is_named(text: str, tmp_path: Path) -> None:
    """The operator finds the address that a node cannot listen on."""
    path = tmp_path / 'settings.json'
    listen = {**FILE['listen'], 'ready': text}
    path.write_text(json.dumps({**FILE, 'listen': listen}))
    assert 'listen.ready' in read_settings(str(path)).unwrap_err()


def test_bounds_for_cold_endpoints_are_optional(tmp_path: Path) -> None:
    """Deployments without them are served as before."""
    assert read(tmp_path).unwrap().cold is None
    bounds = {**FILE['bounds'], 'cold-over': 1.5, 'cold-slack': 5}
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({**FILE, 'bounds': bounds}))
    assert read_settings(str(path)).unwrap().cold == ColdBounds(1.5, 5)


def test_limits_of_the_machine_are_optional(tmp_path: Path) -> None:
    """The platform reserves 200 descriptors for files."""
    assert read(tmp_path).unwrap().machine == MachineLimits()
    limits = {'memory-mb': 160, 'max-fds': 1638, 'cpu-share': 0.4}
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({**FILE, 'limits': limits}))
    machine = read_settings(str(path)).unwrap().machine
    assert machine == MachineLimits(160 * 1024 * 1024, 1438)
