"""The command line of bronzeglade: parses arguments, runs subcommands."""

import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from bronzeglade import green

green.patch()

from bronzeglade import manifest as manifests  # noqa: E402
from bronzeglade import operations  # noqa: E402
from bronzeglade import settings as all_settings  # noqa: E402
from bronzeglade.entry import process  # noqa: E402
from bronzeglade.operations import (  # noqa: E402
    OperatorSettings,
    PublishSettings,
    StatusSettings,
)
from bronzeglade.platform import program as platform  # noqa: E402
from bronzeglade.report import command as report  # noqa: E402
from bronzeglade.report.command import ReportSettings  # noqa: E402
from bronzeglade.settings import EntrySettings  # noqa: E402

EXIT_USAGE = 2
VERSION = '0.1.0'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a subcommand.

    Args:
      arguments: the command line without the program's name.

    Returns:
      The exit code: 0 on success, 2 on a usage error; other codes depend on
      the command.
    """
    args = list(sys.argv[1:] if arguments is None else arguments)
    if args[:1] == ['--version']:
        sys.stdout.write(f'bronzeglade {VERSION}\n')
        return 0
    for length in (2, 1):
        command = COMMANDS.get(' '.join(args[:length]))
        if command is not None:
            return command(args[length:])
    names = '\n'.join(f'  {name}' for name in COMMANDS)
    help_requested = '--help' in args
    stream = sys.stdout if help_requested else sys.stderr
    stream.write(
        f'usage: bronzeglade COMMAND\n{names}\n'
        'Use COMMAND --help for the flags of a command.\n'
    )
    return 0 if help_requested else EXIT_USAGE


def _print_errors(errors: Sequence[str]) -> int:
    for error in errors:
        sys.stderr.write(f'error: {error}\n')
    return EXIT_USAGE


def _run_entry(args: Sequence[str]) -> int:
    if '--help' in args:
        sys.stdout.write(all_settings.help_text(EntrySettings) + '\n')
        return 0
    settings, errors = all_settings.parse(EntrySettings, args, 'entry')
    if settings is None:
        return _print_errors(errors)
    return process.run(settings)


def _check_manifest(args: Sequence[str]) -> int:
    if len(args) != 1 or args[0] == '--help':
        sys.stdout.write(
            'usage: bronzeglade manifest check FILE\n'
            'Prints every error of a manifest. Exit codes: 0 valid, '
            '1 invalid, 2 usage error.\n'
        )
        return 0 if '--help' in args else EXIT_USAGE
    try:
        text = Path(args[0]).read_bytes()
    except OSError as error:
        return _print_errors([str(error)])
    _manifest, errors = manifests.parse(text)
    if errors:
        _print_errors(errors)
        return 1
    sys.stdout.write('the manifest is valid\n')
    return 0


def _publish_manifest(args: Sequence[str]) -> int:
    usage = 'usage: bronzeglade manifest publish FILE FLAGS'
    if '--help' in args:
        return _print_help(usage, PublishSettings)
    files = [arg for arg in args if not arg.startswith('--')]
    options = [arg for arg in args if arg.startswith('--')]
    settings, errors = all_settings.parse(PublishSettings, options, 'publish')
    if len(files) == 1:
        text, file_errors = operations.read_file(files[0])
        errors = [*errors, *file_errors]
    else:
        errors = [
            *errors,
            'expected exactly one FILE, and flags as --name=value',
        ]
    if settings is None or errors:
        return _print_errors(errors)
    return operations.print_result(operations.publish(settings, text))


def _print_status(args: Sequence[str]) -> int:
    if '--help' in args:
        return _print_help('usage: bronzeglade status FLAGS', StatusSettings)
    options = ['--json_output=true' if arg == '--json' else arg for arg in args]
    settings, errors = all_settings.parse(StatusSettings, options, 'status')
    if settings is None:
        return _print_errors(errors)
    return operations.print_result(operations.status(settings))


def _print_report(args: Sequence[str]) -> int:
    if '--help' in args:
        return _print_help('usage: bronzeglade report FLAGS', ReportSettings)
    settings, errors = all_settings.parse(ReportSettings, args, 'report')
    if settings is None:
        return _print_errors(errors)
    return operations.print_result(report.run(settings))


def _print_request(args: Sequence[str]) -> int:
    if len(args) != 2 or '--help' in args:
        sys.stdout.write(
            'usage: bronzeglade report request ID LOGFILE\n'
            'Prints the log of a request; LOGFILE - is standard input.\n'
        )
        return 0 if '--help' in args else EXIT_USAGE
    return operations.print_result(report.request(args[0], args[1]))


def _print_help(usage: str, model: type[OperatorSettings]) -> int:
    flags = all_settings.help_text(model)
    sys.stdout.write(f'{usage}\n{flags}\n{operations.EXIT_CODES}\n')
    return 0


def _print_schema(args: Sequence[str]) -> int:
    if args:
        sys.stdout.write(
            'usage: bronzeglade manifest schema\n'
            'Prints the JSON Schema of the manifest.\n'
        )
        return 0 if '--help' in args else EXIT_USAGE
    sys.stdout.write(manifests.schema() + '\n')
    return 0


COMMANDS: dict[str, Callable[[Sequence[str]], int]] = {
    'entry': _run_entry,
    'manifest check': _check_manifest,
    'manifest publish': _publish_manifest,
    'manifest schema': _print_schema,
    'platform': platform.main,
    'report': _print_report,
    'report request': _print_request,
    'status': _print_status,
}

if __name__ == '__main__':
    sys.exit(main())
