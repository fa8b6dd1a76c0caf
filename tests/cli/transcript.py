"""Runs the commands of a transcript file and returns what they print.

A line ``$ egretmill ARGUMENTS`` runs a command in a directory with the
documented examples and the files of ``tests/cli/inputs``. A line
``# agent ATTRIBUTE NAME`` or ``# fault STEP: KIND TIMES`` sets up the agent
behind ``AGENT``. Lines of standard error start with ``! ``, an exit status
other than 0 is shown in brackets.

``python -m tests.cli.transcript FILE`` prints the transcript of a new case.
"""

import asyncio
import contextlib
import io
import os
import pathlib
import shlex
import shutil
import sys
import tempfile
import threading
from collections.abc import Iterator
from unittest import mock

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from egretmill.agent.operations import make_application
from egretmill.cli.application import main
from egretmill.cli.client import TOKEN_VARIABLE
from egretmill.logs import LOGGER
from tests.agent.fakes import FakeAgent
from tests.document.fakes import Fault

__all__ = ('Run', 'Served', 'replay')

ROOT = pathlib.Path(__file__).parents[2]
PROMPT = '$ egretmill '


class Served:
    """The operations port of a fake agent, served by its own thread."""

    def __init__(self, token_digest: str | None = None) -> None:
        """Listen on a free port of the loopback address."""
        self.agent = FakeAgent()
        self.loop = asyncio.new_event_loop()
        bound = bind_unused_port()
        self.socket = bound[0]
        self.url = f'http://127.0.0.1:{bound[1]}'
        self.token_digest = token_digest
        self.thread = threading.Thread(target=self.serve)

    def serve(self) -> None:
        """Run the server until the loop is stopped."""
        asyncio.set_event_loop(self.loop)
        application = make_application(self.agent, self.token_digest)
        self.loop.call_soon(self.listen, HTTPServer(application))
        self.loop.run_forever()
        self.loop.close()

    def listen(self, server: HTTPServer) -> None:
        """Accept connections in the event loop."""
        server.add_socket(self.socket)

    @contextlib.contextmanager
    def running(self) -> Iterator['Served']:
        """Serve within a ``with`` block."""
        self.thread.start()
        try:
            yield self
        finally:
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join()
            self.socket.close()


class Run:
    """Output and exit status of one command."""

    def __init__(self, arguments: list[str], stdin: str = '') -> None:
        """Run a command in this process."""
        output = io.TextIOWrapper(io.BytesIO())
        errors = io.TextIOWrapper(io.BytesIO())
        with (
            mock.patch.object(sys, 'argv', ['egretmill', *arguments]),
            mock.patch.object(sys, 'stdin', io.StringIO(stdin)),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            self.status = main()
        self.output = text_of(output)
        self.errors = text_of(errors)


def text_of(stream: io.TextIOWrapper) -> str:
    """Return everything written to a stream."""
    stream.flush()
    return stream.buffer.getvalue().decode()


def set_up_agent(agent: FakeAgent, line: str) -> None:
    """Apply a line that sets up the agent."""
    _, setup, rest = line.split(maxsplit=2)
    if setup == 'fault':
        step, fault = rest.split(': ')
        kind, times = fault.split()
        agent.store.switch_faults(Fault(step, kind, int(times)))
    else:
        attribute, name = rest.split()
        getattr(agent, attribute).add(name)


def run_line(line: str, served: Served) -> str:
    """Return a command line and what it prints."""
    command, _, source = line.removeprefix(PROMPT).partition(' < ')
    stdin = pathlib.Path(source).read_text() if source else ''
    run = Run(shlex.split(command.replace('AGENT', served.url)), stdin)
    errors = ''.join(f'! {text}\n' for text in run.errors.splitlines())
    status = f'[exit {run.status}]\n' if run.status else ''
    shown = run.output + errors + status
    return f'{line}\n' + shown.replace(served.url, 'AGENT')


def replay(transcript: str) -> str:
    """Run all commands of a transcript and return the new transcript."""
    found = []
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        for source in ('docs/examples', 'tests/cli/inputs'):
            shutil.copytree(ROOT / source, directory, dirs_exist_ok=True)
        stack.enter_context(contextlib.chdir(directory))
        stack.enter_context(mock.patch.dict(os.environ))
        os.environ.pop(TOKEN_VARIABLE, None)
        stack.enter_context(mock.patch.object(LOGGER, 'disabled', new=True))
        served = stack.enter_context(Served().running())
        for line in transcript.splitlines():
            if line.startswith(PROMPT):
                found.append(run_line(line, served))
            elif line.startswith('# '):
                set_up_agent(served.agent, line)
                found.append(f'{line}\n')
    return ''.join(found)


if __name__ == '__main__':
    print(replay(pathlib.Path(sys.argv[1]).read_text()), end='')
