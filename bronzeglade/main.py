"""The command line of bronzeglade."""

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
      The exit code: 0, 1 for a failed command, 2 for a wrong call.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    if words[:1] == ['--version']:
        sys.stdout.write(f'bronzeglade {VERSION}\n')
        return 0
    for length in (2, 1):
        command = COMMANDS.get(' '.join(words[:length]))
        if command is not None:
            return command(words[length:])
    names = '\n'.join(f'  {name}' for name in COMMANDS)
    wanted = '--help' in words
    stream = sys.stdout if wanted else sys.stderr
    stream.write(
        f'usage: bronzeglade COMMAND\n{names}\n'
        'Each command explains its flags with --help.\n'
    )
    return 0 if wanted else EXIT_USAGE


def _fail(errors: Sequence[str]) -> int:
    for error in errors:
        sys.stderr.write(f'error: {error}\n')
    return EXIT_USAGE


def _entry(words: Sequence[str]) -> int:
    if '--help' in words:
        sys.stdout.write(all_settings.help_text(EntrySettings) + '\n')
        return 0
    settings, errors = all_settings.parse(EntrySettings, words, 'entry')
    if settings is None:
        return _fail(errors)
    return process.run(settings)


def _check(words: Sequence[str]) -> int:
    if len(words) != 1 or words[0] == '--help':
        sys.stdout.write(
            'usage: bronzeglade manifest check FILE\n'
            'Prints every error of a manifest. Exit codes: 0 valid, '
            '1 invalid, 2 wrong call.\n'
        )
        return 0 if '--help' in words else EXIT_USAGE
    try:
        text = Path(words[0]).read_bytes()
    except OSError as error:
        return _fail([str(error)])
    _manifest, errors = manifests.parse(text)
    if errors:
        _fail(errors)
        return 1
    sys.stdout.write('the manifest is valid\n')
    return 0


def _publish(words: Sequence[str]) -> int:
    usage = 'usage: bronzeglade manifest publish FILE FLAGS'
    if '--help' in words:
        return _help(usage, PublishSettings)
    files = [word for word in words if not word.startswith('--')]
    given = [word for word in words if word.startswith('--')]
    settings, errors = all_settings.parse(PublishSettings, given, 'publish')
    if len(files) == 1:
        text, file_errors = operations.read_file(files[0])
        errors = [*errors, *file_errors]
    else:
        errors = [*errors, 'name one FILE; write flags as --name=value']
    if settings is None or errors:
        return _fail(errors)
    return operations.show(operations.publish(settings, text))


def _status(words: Sequence[str]) -> int:
    if '--help' in words:
        return _help('usage: bronzeglade status FLAGS', StatusSettings)
    given = [
        '--json_output=true' if word == '--json' else word for word in words
    ]
    settings, errors = all_settings.parse(StatusSettings, given, 'status')
    if settings is None:
        return _fail(errors)
    return operations.show(operations.status(settings))


def _report(words: Sequence[str]) -> int:
    if '--help' in words:
        return _help('usage: bronzeglade report FLAGS', ReportSettings)
    settings, errors = all_settings.parse(ReportSettings, words, 'report')
    if settings is None:
        return _fail(errors)
    return operations.show(report.run(settings))


def _request(words: Sequence[str]) -> int:
    if len(words) != 2 or '--help' in words:
        sys.stdout.write(
            'usage: bronzeglade report request ID LOGFILE\n'
            'Prints the log of one request; LOGFILE - is standard input.\n'
        )
        return 0 if '--help' in words else EXIT_USAGE
    return operations.show(report.request(words[0], words[1]))


def _help(usage: str, model: type[OperatorSettings]) -> int:
    flags = all_settings.help_text(model)
    sys.stdout.write(f'{usage}\n{flags}\n{operations.EXIT_CODES}\n')
    return 0


def _schema(words: Sequence[str]) -> int:
    if words:
        sys.stdout.write(
            'usage: bronzeglade manifest schema\n'
            'Prints the JSON Schema of the manifest.\n'
        )
        return 0 if '--help' in words else EXIT_USAGE
    sys.stdout.write(manifests.schema() + '\n')
    return 0


COMMANDS: dict[str, Callable[[Sequence[str]], int]] = {
    'entry': _entry,
    'manifest check': _check,
    'manifest publish': _publish,
    'manifest schema': _schema,
    'platform': platform.main,
    'report': _report,
    'report request': _request,
    'status': _status,
}

if __name__ == '__main__':
    sys.exit(main())
