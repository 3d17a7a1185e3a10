"""Settings from flags and environment variables, checked at start."""

import datetime as dt
import os
import re
from collections.abc import Sequence
from typing import Annotated, Any, TypeVar

import pydantic as pd
from absl import flags
from pydantic import Field

ENVIRONMENT_PREFIX = 'BRONZEGLADE_'

_UNITS = {
    'ms': dt.timedelta(milliseconds=1),
    's': dt.timedelta(seconds=1),
    'm': dt.timedelta(minutes=1),
    'h': dt.timedelta(hours=1),
}
_DURATION = re.compile(r'^(\d+(?:\.\d+)?)(ms|s|m|h)$')


def parse_duration(text: object) -> object:
    """Turn text such as `250ms`, `5s`, `90m` or `1h` into a duration.

    Args:
      text: what a flag or variable holds.

    Returns:
      The duration, or the input when it is not text.

    Raises:
      ValueError: the text is not a duration.
    """
    if not isinstance(text, str):
        return text
    match = _DURATION.match(text)
    if match is None:
        raise ValueError('a duration looks like 250ms, 5s, 90m or 1h')
    return float(match.group(1)) * _UNITS[match.group(2)]


def split_list(text: object) -> object:
    """Split comma-separated text; other input passes unchanged."""
    if isinstance(text, str):
        return tuple(part.strip() for part in text.split(',') if part.strip())
    return text


Duration = Annotated[dt.timedelta, pd.BeforeValidator(parse_duration)]
Address = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]
Addresses = Annotated[tuple[Address, ...], pd.BeforeValidator(split_list)]
Url = Annotated[str, Field(pattern=r'^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]
PeerKey = Annotated[str, Field(pattern=r'^\d{1,3}:[0-9a-f]{32,128}$')]
PeerKeys = Annotated[
    tuple[PeerKey, ...],
    pd.BeforeValidator(split_list),
    Field(min_length=1, max_length=2),
]
Port = Annotated[int, Field(ge=1, le=65535)]
Host = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]


class EntrySettings(pd.BaseModel):
    """Settings of the router process on an entry VM."""

    model_config = pd.ConfigDict(extra='forbid', frozen=True)

    vm: str = Field(description='Name of this VM, as the VM list has it.')
    host: Host = Field(description='IP address to listen on.')
    port: Port = Field(description='TCP port towards callers.')
    control_port: Port = Field(
        description='TCP and UDP port towards peers, operators and metrics.'
    )
    failure_domain: str = Field(description='Failure domain of this VM.')
    vm_list_url: Url = Field(description='Base URL of the VM list.')
    table_url: Url = Field(description='Base URL of the table service.')
    rating_url: Url | None = Field(
        None, description='Base URL of the rating service, if there is one.'
    )
    seeds: Addresses = Field(
        (), description='Control addresses of nodes to contact at start.'
    )
    peer_keys: PeerKeys = Field(
        description=(
            'One or two shared keys ID:HEX between nodes; the first signs, '
            'each is accepted.'
        )
    )
    table_timeout: Duration = Field(
        dt.timedelta(seconds=2), description='Time limit of a table call.'
    )
    connect_timeout: Duration = Field(
        dt.timedelta(milliseconds=500),
        description='Time limit to connect to an endpoint.',
    )
    request_timeout: Duration = Field(
        dt.timedelta(minutes=2),
        description='Time limit of a request without a deadline header.',
    )
    receive_timeout: Duration = Field(
        dt.timedelta(seconds=10),
        description='Time limit to receive a request from a caller.',
    )
    body_limit: int = Field(
        4 * 1024 * 1024, ge=1024, description='Largest request body, bytes.'
    )
    vm_poll_interval: Duration = Field(
        dt.timedelta(seconds=2), description='Time between VM list reads.'
    )
    load_poll_interval: Duration = Field(
        dt.timedelta(seconds=1), description='Time between load page reads.'
    )
    head_poll_interval: Duration = Field(
        dt.timedelta(seconds=5),
        description='Time between reads of the active generation.',
    )
    probe_interval: Duration = Field(
        dt.timedelta(seconds=1), description='Time between peer probes.'
    )
    entries_max_age: Duration = Field(
        dt.timedelta(seconds=30),
        description='How long callers keep the list of entry addresses.',
    )
    drain_limit: Duration = Field(
        dt.timedelta(minutes=3),
        description='Longest time a graceful shutdown waits for requests.',
    )
    staleness_limit: Duration = Field(
        dt.timedelta(minutes=90),
        description='How long a node serves without a confirmed generation.',
    )
    candidate_staleness_limit: Duration = Field(
        dt.timedelta(seconds=60),
        description='The same, for new work on a version in rollout.',
    )
    log_file: str = Field('-', description='Log file; - is standard error.')


SettingsT = TypeVar('SettingsT', bound=pd.BaseModel)


def define_flags(model: type[pd.BaseModel], values: flags.FlagValues) -> None:
    """Define a flag for each field of a settings model.

    Args:
      model: the settings; descriptions become help texts.
      values: where the flags are defined.
    """
    for name, field in model.model_fields.items():
        env_name = ENVIRONMENT_PREFIX + name.upper()
        required = 'required' if field.is_required() else field.default
        flags.DEFINE_string(
            name,
            os.environ.get(env_name),
            f'{field.description} Variable {env_name}. Default: {required}',
            flag_values=values,
        )


def load(
    model: type[SettingsT], values: flags.FlagValues
) -> tuple[SettingsT | None, list[str]]:
    """Check the parsed flags against a settings model.

    Args:
      model: the settings.
      values: parsed flags, defaults taken from the environment.

    Returns:
      The settings, or None, and every error by flag name.
    """
    given: dict[str, Any] = {
        name: values[name].value
        for name in model.model_fields
        if values[name].value is not None
    }
    try:
        return model.model_validate(given), []
    except pd.ValidationError as failure:
        return None, [_flag_error(error) for error in failure.errors()]


def _flag_error(error: Any) -> str:
    name = str(error['loc'][0])
    message = error['msg']
    return f'--{name}: {message}'


def parse(
    model: type[SettingsT], arguments: Sequence[str], program: str
) -> tuple[SettingsT | None, list[str]]:
    """Parse a subcommand's arguments into its settings.

    Args:
      model: the settings.
      arguments: the command line after the subcommand's name.
      program: name for help texts.

    Returns:
      The settings, or None, and every error by flag name.
    """
    values = flags.FlagValues()
    define_flags(model, values)
    known, errors = _split_unknown(model, arguments)
    try:
        rest = values([program, *known])
    except flags.Error as error:
        return None, [*errors, str(error)]
    errors.extend(f'unexpected argument {word!r}' for word in rest[1:])
    settings, invalid = load(model, values)
    errors.extend(invalid)
    return (None if errors else settings), errors


def _split_unknown(
    model: type[pd.BaseModel], arguments: Sequence[str]
) -> tuple[list[str], list[str]]:
    # The parser stops at the first flag that it does not know, and would
    # hide the other errors.
    names = {*model.model_fields, 'flagfile', 'undefok'}  # of absl itself
    known: list[str] = []
    errors: list[str] = []
    for word in arguments:
        name = word.lstrip('-').partition('=')[0].replace('-', '_')
        if word.startswith('-') and name not in names:
            errors.append(f'--{name}: no such flag')
        else:
            known.append(word)
    return known, errors


def help_text(model: type[pd.BaseModel]) -> str:
    """Return the help of every flag of a settings model."""
    values = flags.FlagValues()
    define_flags(model, values)
    return str(values.main_module_help() or values.get_help())
