"""Start and stop of programs: arguments, settings, signals."""

import asyncio
import os
import signal

import pytest

from egretmill import __version__, programs

VALID = """
name = "entry-1"
failure_domain = "tbilisi-a"
address = "127.0.0.1"

[platform]
url = "http://127.0.0.1:9000"
"""


async def must_not_serve(settings, signals):
    """Fail, because the program must not be started."""
    raise AssertionError('started')


def run(argv, serve=must_not_serve):
    """Run a program under a test name."""
    return programs.run_program('egretmill-test', 'Test.', serve, argv)


def test_check_starts_nothing(tmp_path, capsys):
    """Guards against ``--check`` starting the program."""
    path = tmp_path / 'host.toml'
    path.write_text(VALID)
    assert run(['--config', str(path), '--check']) == programs.EXIT_OK
    assert capsys.readouterr().out == f'{path}: valid\n'


def test_invalid_settings_name_file_path_value_and_rule(tmp_path, capsys):
    """Guards against a settings error that an operator cannot locate."""
    path = tmp_path / 'host.toml'
    path.write_text(f'{VALID}\n[ports]\nsteer = 70000\n')
    assert run(['--config', str(path)]) == programs.EXIT_INVALID
    message = capsys.readouterr().err
    for part in (str(path), '$.ports.steer', '70000', '<= 65535'):
        assert part in message


def test_missing_file_is_reported(tmp_path, capsys):
    """Guards against a traceback for a file that does not exist."""
    path = tmp_path / 'none.toml'
    assert run(['--config', str(path)]) == programs.EXIT_INVALID
    assert 'No such file' in capsys.readouterr().err


def test_version_and_unknown_arguments(capsys):
    """Guards against other exit statuses than 0 and 2 of argparse."""
    for argv, status in ((['--version'], 0), (['--nonsense'], 2)):
        with pytest.raises(SystemExit) as stopped:
            run(argv)
        assert stopped.value.code == status
    assert __version__ in capsys.readouterr().out


def test_second_signal_forces_the_end(tmp_path):
    """Guards against a shutdown that a second signal does not end."""
    path = tmp_path / 'host.toml'
    path.write_text(VALID)

    async def serve(settings, signals):
        os.kill(os.getpid(), signal.SIGTERM)
        await signals.requested.wait()
        os.kill(os.getpid(), signal.SIGTERM)
        complete = await signals.run_shutdown(asyncio.sleep(30), 30)
        return programs.EXIT_OK if complete else programs.EXIT_FAILED

    assert run(['--config', str(path)], serve) == programs.EXIT_FAILED


async def test_shutdown_ends_by_itself_or_at_its_limit():
    """Guards against a shutdown that exceeds its time limit."""
    signals = programs.StopSignals()
    assert await signals.run_shutdown(asyncio.sleep(0), 5)
    assert not await signals.run_shutdown(asyncio.sleep(30), 0.01)
