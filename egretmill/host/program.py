"""The host program: parts on one loop, start and graceful shutdown."""

import asyncio
import contextlib
import dataclasses
import signal
import socket
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Protocol

from result import Err, Result
from tornado import web
from tornado.httpserver import HTTPServer

from egretmill import events
from egretmill.fleet.freshness import boot_time
from egretmill.fleet.knowledge import Topic
from egretmill.host.beats import Beats
from egretmill.host.handler import EntryHandler
from egretmill.host.metrics import HostMetrics
from egretmill.host.roster_keeper import ROSTER_TABLE, RosterKeeper
from egretmill.host.settings import Endpoint, HostSettings
from egretmill.host.state import HostState
from egretmill.host.updates import Updates
from egretmill.http1 import ServerConnection
from egretmill.log_volume import BoundedHandler
from egretmill.logs import configure, log_event
from egretmill.programs import StopSignals, omit_unused_log_fields
from egretmill.tables.ports import TableStore
from egretmill.tables.watch import PollTiming, TableWatch

__all__ = ('Adapter', 'HostProgram', 'run_host')

#: New connections that wait for the program; a full queue costs the caller
#: seconds.
BACKLOG = 1024
#: Pace of the watch of the roster: half its lease.
ROSTER_PACE = PollTiming(wait_s=0, interval_s=0.2, max_age_s=3.0)
#: A leaving host takes connections for this part of the grace; callers use
#: an answer of the directory for some seconds.
ACCEPTING_PART = 0.6
#: ... and leaves without callers for this time earlier, in seconds.
QUIET_S = 1.5
#: Part of the grace after which requests that still run are cut; the rest is
#: for the end of the process on a slowed machine.
ENDING_PART = 0.9
SHUTDOWN_POLL_S = 0.05
#: Time between two looks at the settings file, in seconds.
SETTINGS_CHECK_S = 2.0


class Adapter(Protocol):
    """What the platform provides."""

    settings: HostSettings
    store: TableStore

    def watches(self, updates: Updates) -> Mapping[Topic, TableWatch]:
        """Return the watches of the platform's own tables, by topic."""
        raise NotImplementedError

    def applications(
        self,
        state: HostState,
    ) -> Sequence[tuple[Endpoint, web.Application]]:
        """Return the endpoints besides the entry."""
        raise NotImplementedError

    def settings_changed(self) -> bool:
        """Tell whether the settings are others than those read."""
        raise NotImplementedError

    def reload(self) -> Result[HostSettings, str]:
        """Read the settings again; an error says why they are not used."""
        raise NotImplementedError


class BootLoop(asyncio.SelectorEventLoop):
    """Event loop whose time goes on while the machine is suspended.

    Deadlines of callers and the age of knowledge do not stand still then.
    """

    def time(self) -> float:
        """Return the boot time in seconds."""
        return boot_time()


@dataclasses.dataclass(slots=True)
class Listening:
    """Open listeners of the program."""

    entry: asyncio.Server
    others: list[HTTPServer]

    def close(self) -> None:
        """Close the listeners of the entry."""
        self.entry.close()


class HostProgram:
    """All parts of one host."""

    def __init__(self, adapter: Adapter, state: HostState) -> None:
        """Compose the parts."""
        self.adapter = adapter
        self.state = state
        self.updates = Updates(state)
        self.handler = EntryHandler(state)
        self.keeper = RosterKeeper(state, adapter.store)
        self.beats = Beats(state, self.poke, self.updates.hear)
        self.updates.on_read = self.beats.announce
        self.watches = {
            **adapter.watches(self.updates),
            Topic.ROSTER: TableWatch(
                adapter.store,
                ROSTER_TABLE,
                self.keeper,
                ROSTER_PACE,
                proof=state.share.proof,
            ),
        }

    async def run(self, signals: StopSignals) -> int:
        """Serve until the first signal, then shut down gracefully."""
        started_at = self.state.now()
        listening = await self.listen()
        log_event(
            events.CATALOGUE.STARTED,
            host=self.state.settings.name,
            entry=str(self.state.settings.entry),
            domain=self.state.settings.failure_domain,
        )
        async with contextlib.AsyncExitStack() as stack:
            for work in self.parts(started_at):
                task = asyncio.create_task(work)
                stack.callback(task.cancel)
            await signals.requested.wait()
            await self.shut_down(listening)
        return 0

    def parts(self, started_at: float) -> list[Coroutine[None, None, None]]:
        """Return what runs beside the listeners."""
        return [
            supervise('beats', self.beats.run),
            supervise('join', self.keeper.join),
            supervise('keep', self.keeper.keep),
            supervise('settings', self.follow_settings),
            supervise('readiness', lambda: self.note_ready(started_at)),
            *(
                supervise(topic.value, watch.run)
                for topic, watch in self.watches.items()
            ),
        ]

    async def listen(self) -> Listening:
        """Open all listeners."""
        loop = asyncio.get_running_loop()
        entry = self.state.settings.entry
        server = await loop.create_server(
            lambda: ServerConnection(self.handler),
            entry.address,
            entry.port,
            family=socket.AF_INET,
            backlog=BACKLOG,
            reuse_address=True,
        )
        others = []
        for endpoint, application in self.adapter.applications(self.state):
            other = HTTPServer(application)
            other.listen(endpoint.port, endpoint.address)
            others.append(other)
        return Listening(server, others)

    def poke(self, topic: Topic) -> None:
        """Look for changes now: a peer knows something else."""
        self.watches[topic].poll_now()

    def reload(self) -> None:
        """Take over changed settings that can change while running."""
        loaded = self.adapter.reload()
        if isinstance(loaded, Err):
            log_event(
                events.CATALOGUE.SETTINGS_REJECTED,
                detail=loaded.err_value,
            )
            return
        log_event(
            events.CATALOGUE.SETTINGS_RELOADED,
            changed=loaded.ok_value != self.state.settings,
        )
        self.state.settings = loaded.ok_value

    async def follow_settings(self) -> None:
        """Reload settings that were changed without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            if self.adapter.settings_changed():
                self.reload()

    async def note_ready(self, started_at: float) -> None:
        """Log when the host becomes ready."""
        while not self.state.ready:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        log_event(
            events.CATALOGUE.READY,
            after_s=round(self.state.now() - started_at, 3),
            version=self.state.knowledge.version,
            upstreams=len(self.state.knowledge.upstreams.by_name),
            members=len(self.state.share.members),
        )

    async def shut_down(self, listening: Listening) -> None:
        """Send callers elsewhere, then end what is in flight."""
        self.state.leaving = True
        now = self.state.now()
        grace_s = self.state.settings.bounds.grace_s
        log_event(
            events.CATALOGUE.STOPPING,
            requests=len(self.handler.tasks),
            connections=len(self.handler.connections),
        )
        self.beats.tick()
        await self.wait_quiet(now + grace_s * ACCEPTING_PART)
        listening.close()
        for connection in tuple(self.handler.connections):
            if not connection.is_busy:
                connection.shut_down()
        ends_at = now + grace_s * ENDING_PART
        while self.handler.connections and self.state.now() < ends_at:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        log_event(
            events.CATALOGUE.STOPPED,
            cut_requests=len(self.handler.tasks),
            took_s=round(self.state.now() - now, 3),
        )

    async def wait_quiet(self, until: float) -> None:
        """Take requests until a time, or until nobody comes any more."""
        busy_at = self.state.now()
        while self.state.now() < until:
            if self.handler.tasks:
                busy_at = self.state.now()
            if self.state.now() - busy_at > QUIET_S:
                return
            await asyncio.sleep(SHUTDOWN_POLL_S)


async def supervise(
    name: str,
    work: Callable[[], Coroutine[None, None, None]],
) -> None:
    """Run a part again after an unexpected exception."""
    while True:
        try:
            return await work()
        except asyncio.CancelledError:
            raise
        except Exception as error:  # noqa: BLE001
            log_event(
                events.CATALOGUE.HANDLER_FAILED,
                part=name,
                error=repr(error),
            )
        await asyncio.sleep(SHUTDOWN_POLL_S)


def run_host(
    adapter: Adapter,
    state: HostState,
) -> int:
    """Run the host program until its shutdown has ended."""
    configure_logs(adapter.settings, state.metrics)
    program = HostProgram(adapter, state)
    with asyncio.Runner(loop_factory=BootLoop) as runner:
        return runner.run(start(program))


async def start(program: HostProgram) -> int:
    """Handle signals before the program listens."""
    signals = StopSignals.install()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    return await program.run(signals)


def configure_logs(settings: HostSettings, metrics: HostMetrics) -> None:
    """Write JSON lines of bounded volume to standard output."""
    drop = metrics.log_lines_suppressed.inc
    configure(
        settings.log_level,
        'json',
        BoundedHandler.for_stdout(drop),
    )
    omit_unused_log_fields()
