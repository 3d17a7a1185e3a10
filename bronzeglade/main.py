"""The command line of bronzeglade."""

import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from bronzeglade import green

green.patch()

from bronzeglade import manifest as manifests  # noqa: E402
from bronzeglade import settings as all_settings  # noqa: E402
from bronzeglade.entry import process  # noqa: E402
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
    sys.stderr.write(f'usage: bronzeglade COMMAND\n{names}\n')
    return 0 if '--help' in words else EXIT_USAGE


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
        sys.stdout.write('usage: bronzeglade manifest check FILE\n')
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


def _schema(_words: Sequence[str]) -> int:
    sys.stdout.write(manifests.schema() + '\n')
    return 0


COMMANDS: dict[str, Callable[[Sequence[str]], int]] = {
    'entry': _entry,
    'manifest check': _check,
    'manifest schema': _schema,
}

if __name__ == '__main__':
    sys.exit(main())
