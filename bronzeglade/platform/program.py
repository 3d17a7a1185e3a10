"""Command line of the router process on the platform."""

import os
import sys
from collections.abc import Sequence

from absl import flags
from result import Result

from bronzeglade.adapters import transport
from bronzeglade.forwarding import router_process
from bronzeglade.forwarding.platform_interface import (
    CountCall,
    Documents,
    PlatformAdapter,
)
from bronzeglade.forwarding.settings import RouterSettings
from bronzeglade.platform import documents, pages, settings
from bronzeglade.platform.headers import PlatformHeaders
from bronzeglade.platform.store import PlatformStore

SETTINGS_VARIABLE = 'BRONZEGLADE_SETTINGS'
DEFAULT_SETTINGS = '/etc/bronzeglade/boot.json'
EXIT_USAGE = 2


def platform_adapter(path: str) -> PlatformAdapter:
    """Return the adapter with the platform's formats and protocols.

    Args:
      path: path of the settings file.
    """

    def read_settings() -> Result[RouterSettings, str]:
        return settings.read_settings(path)

    def open_store(
        router_settings: RouterSettings, count: CountCall
    ) -> PlatformStore:
        return PlatformStore(router_settings.store, transport.new_pool(), count)

    return PlatformAdapter(
        read_settings=read_settings,
        open_store=open_store,
        dialect=PlatformHeaders(),
        documents=Documents(
            operator_table=documents.OPERATOR_TABLE,
            endpoint_table=documents.ENDPOINT_TABLE,
            configuration_key=documents.CONFIGURATION_KEY,
            order_prefix=documents.ORDER_PREFIX,
            evacuation_prefix=documents.EVACUATION_PREFIX,
            read_configuration=documents.read_configuration,
            read_endpoint=documents.read_endpoint,
            read_order=documents.read_order,
            status_row=documents.status_row,
        ),
        readiness=pages.readiness,
        directory=pages.directory,
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the router process on the platform.

    Args:
      arguments: command line without the program's name; by default that of
        the process.

    Returns:
      The exit code; 2 for invalid flags.
    """
    command_line = list(sys.argv[1:] if arguments is None else arguments)
    values = flags.FlagValues()
    flags.DEFINE_integer(
        'metrics_port',
        9464,
        'TCP port that serves the metrics, at /metrics.',
        lower_bound=1,
        upper_bound=65535,
        flag_values=values,
    )
    flags.DEFINE_string(
        'settings',
        os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS),
        f'Path of the settings file; by default from {SETTINGS_VARIABLE}.',
        flag_values=values,
    )
    try:
        values(['bronzeglade platform', *command_line])
    except flags.Error as error:
        sys.stderr.write(f'error: {error}\n')
        return EXIT_USAGE
    return router_process.run(
        platform_adapter(values.settings), values.metrics_port
    )
