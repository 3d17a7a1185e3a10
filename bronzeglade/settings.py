"""Settings from flags and environment variables, validated at start."""

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
    """Parse a duration such as `250ms`, `5s`, `90m` or `1h`.

    Args:
      text: the value of a flag or variable.

    Returns:
      The duration, or the input when it is not text.

    Raises:
      ValueError: the text is not a duration.
    """
    if not isinstance(text, str):
        return text
    match = _DURATION.match(text)
    if match is None:
        raise ValueError('a duration must look like 250ms, 5s, 90m or 1h')
    return float(match.group(1)) * _UNITS[match.group(2)]


def split_list(text: object) -> object:
    """Split comma-separated text; other input passes unchanged."""
    if isinstance(text, str):
        return tuple(item.strip() for item in text.split(',') if item.strip())
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

    vm: str = Field(description='Name of this VM in the VM list.')
    host: Host = Field(description='IP address to listen on.')
    port: Port = Field(description='TCP port for callers.')
    control_port: Port = Field(
        description='TCP and UDP port for peers, operators and metrics.'
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
            'One or two shared keys ID:HEX for messages between nodes; the '
            'first signs, all are accepted.'
        )
    )
    table_timeout: Duration = Field(
        dt.timedelta(seconds=2), description='Timeout of a table call.'
    )
    connect_timeout: Duration = Field(
        dt.timedelta(milliseconds=500),
        description='Timeout for connecting to an endpoint.',
    )
    request_timeout: Duration = Field(
        dt.timedelta(minutes=2),
        description='Timeout of a request without a deadline header.',
    )
    receive_timeout: Duration = Field(
        dt.timedelta(seconds=10),
        description='Timeout for receiving a request from a caller.',
    )
    body_limit: int = Field(
        4 * 1024 * 1024,
        ge=1024,
        description='Maximum size of a request body, bytes.',
    )
    held_limit: int = Field(
        64 * 1024 * 1024,
        ge=0,
        description=(
            'Maximum size of the request bodies of all callers that have not '
            'been answered, bytes. A body that is alone may exceed it.'
        ),
    )
    connection_limit: int = Field(
        4096,
        ge=1,
        description=(
            'Maximum number of open connections of callers, and of the control '
            'port. Each may take about 90 KB.'
        ),
    )
    vm_poll_interval: Duration = Field(
        dt.timedelta(seconds=2),
        description='Interval between reads of the VM list.',
    )
    load_poll_interval: Duration = Field(
        dt.timedelta(seconds=1),
        description='Interval between reads of load pages.',
    )
    head_poll_interval: Duration = Field(
        dt.timedelta(seconds=5),
        description='Interval between reads of the active generation.',
    )
    probe_interval: Duration = Field(
        dt.timedelta(seconds=1), description='Interval between probes of peers.'
    )
    entries_max_age: Duration = Field(
        dt.timedelta(seconds=30),
        description='Time for which callers cache the list of entry addresses.',
    )
    drain_limit: Duration = Field(
        dt.timedelta(minutes=3),
        description='Maximum time a graceful shutdown waits for requests.',
    )
    staleness_limit: Duration = Field(
        dt.timedelta(minutes=90),
        description='Time a node serves without confirming its generation.',
    )
    candidate_staleness_limit: Duration = Field(
        dt.timedelta(seconds=60),
        description='The same, for new requests to a roll-out candidate.',
    )
    log_file: str = Field('-', description='Log file; - is the standard error.')


SettingsT = TypeVar('SettingsT', bound=pd.BaseModel)


def define_flags(model: type[pd.BaseModel], values: flags.FlagValues) -> None:
    """Define a flag for each field of a settings model.

    Args:
      model: the settings; descriptions become help texts.
      values: receives the flags.
    """
    for name, field in model.model_fields.items():
        env_name = ENVIRONMENT_PREFIX + name.upper()
        default = 'required' if field.is_required() else field.default
        flags.DEFINE_string(
            name,
            os.environ.get(env_name),
            f'{field.description} Variable {env_name}. Default: {default}',
            flag_values=values,
        )


def load(
    model: type[SettingsT], values: flags.FlagValues
) -> tuple[SettingsT | None, list[str]]:
    """Validate parsed flags with a settings model.

    Args:
      model: the settings.
      values: parsed flags; their defaults come from the environment.

    Returns:
      The settings, or None if they are invalid, and every error by flag name.
    """
    supplied: dict[str, Any] = {
        name: values[name].value
        for name in model.model_fields
        if values[name].value is not None
    }
    try:
        return model.model_validate(supplied), []
    except pd.ValidationError as invalid:
        return None, [_flag_error(error) for error in invalid.errors()]


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
      program: program name in help texts.

    Returns:
      The settings, or None if they are invalid, and every error by flag name.
    """
    values = flags.FlagValues()
    define_flags(model, values)
    known, errors = _split_unknown(model, arguments)
    try:
        positional = values([program, *known])
    except flags.Error as error:
        return None, [*errors, str(error)]
    errors.extend(
        f'unexpected argument {argument!r}' for argument in positional[1:]
    )
    settings, invalid = load(model, values)
    errors.extend(invalid)
    return (None if errors else settings), errors


def _split_unknown(
    model: type[pd.BaseModel], arguments: Sequence[str]
) -> tuple[list[str], list[str]]:
    # The absl parser stops at the first unknown flag, which would hide the
    # other errors.
    names = {*model.model_fields, 'flagfile', 'undefok'}  # built into absl
    known: list[str] = []
    errors: list[str] = []
    for argument in arguments:
        name = argument.lstrip('-').partition('=')[0].replace('-', '_')
        if argument.startswith('-') and name not in names:
            errors.append(f'--{name}: unknown flag')
        else:
            known.append(argument)
    return known, errors


def help_text(model: type[pd.BaseModel]) -> str:
    """Return the help text of all flags of a settings model."""
    values = flags.FlagValues()
    define_flags(model, values)
    return str(values.main_module_help() or values.get_help())
