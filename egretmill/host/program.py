"""The host program: its components, start and graceful shutdown."""

import asyncio
import contextlib
import signal
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Protocol

from result import Err, Result

from egretmill import events
from egretmill.fleet.view import Topic
from egretmill.host.event_loop import BootLoop
from egretmill.host.handler import EntryHandler
from egretmill.host.heartbeats import HeartbeatService
from egretmill.host.listeners import Listeners
from egretmill.host.load_report import LoadReport
from egretmill.host.metrics import HostMetrics
from egretmill.host.pages import Pages
from egretmill.host.peer_copies import CopyClient, make_copy_pages
from egretmill.host.roster_keeper import ROSTER_TABLE, RosterKeeper
from egretmill.host.settings import HostSettings
from egretmill.host.state import HostState
from egretmill.host.state_updater import StateUpdater
from egretmill.http1 import drain
from egretmill.log_volume import BoundedHandler
from egretmill.logs import configure, log_event
from egretmill.programs import StopSignals, omit_unused_log_fields
from egretmill.tables.ports import TableStore
from egretmill.tables import PollTiming, TableWatch

__all__ = ('Adapter', 'HostProgram', 'run_host')

#: Polling of the roster: a copy counts as fresh for half of the roster's lease.
ROSTER_POLL_TIMING = PollTiming(wait_s=0, interval_s=0.2, max_age_s=3.0)
#: Fraction of the grace period for which a stopping host takes requests, as
#: callers cache a directory answer for some seconds. A request that is taken
#: later may still be at an upstream when the grace ends.
ACCEPTING_FRACTION = 0.5
#: Fraction after which it serves none that no upstream has got. It may have
#: noticed the signal later than its sender.
SERVING_FRACTION = 0.45
#: It stops accepting earlier after this time without requests, in seconds.
IDLE_BEFORE_CLOSE_S = 1.5
#: Fraction of the grace period after which running requests are cut off; the
#: rest is for the exit of the process on a slowed machine.
DRAIN_FRACTION = 0.9
POLL_INTERVAL_S = 0.05
#: Time between two checks of the settings file, in seconds.
SETTINGS_CHECK_INTERVAL_S = 2.0


class Adapter(Protocol):
    """What the platform's adapter provides."""

    settings: HostSettings
    store: TableStore

    def watches(self, updater: StateUpdater) -> Mapping[Topic, TableWatch]:
        """Return the watches of the platform's own tables, by topic."""
        raise NotImplementedError

    def pages(self, state: HostState) -> Sequence[Pages]:
        """Return the pages that the platform asks for."""
        raise NotImplementedError

    def settings_changed(self) -> bool:
        """Return whether the settings source has changed since it was read."""
        raise NotImplementedError

    def reload(self) -> Result[HostSettings, str]:
        """Read the settings again; an error says why they are rejected."""
        raise NotImplementedError


class HostProgram:
    """All components of one host."""

    def __init__(self, adapter: Adapter, state: HostState) -> None:
        """Create and connect the components."""
        self.adapter = adapter
        self.state = state
        self.updater = StateUpdater(state)
        self.handler = EntryHandler(state)
        self.load = LoadReport(state, self.handler)
        self.keeper = RosterKeeper(state, adapter.store)
        self.heartbeats = HeartbeatService(
            state, self.trigger_read, self.updater.apply_changes
        )
        self.updater.on_read = self.heartbeats.broadcast_changes
        self.updater.on_leaving = self.heartbeats.broadcast
        self.heartbeats.on_leaving = self.updater.record_peer_answer
        self.watches = {
            **adapter.watches(self.updater),
            Topic.ROSTER: TableWatch(
                adapter.store,
                ROSTER_TABLE,
                self.keeper.table,
                ROSTER_POLL_TIMING,
                freshness=state.share.freshness,
            ),
        }
        for watch in self.watches.values():
            watch.on_restored = self.poll_all_tables
        self.copies = CopyClient(state, self.watches[Topic.CONFIGURATION])
        self.heartbeats.on_newer_configuration = self.copies.ask_if_behind
        self.heartbeats.on_lasting_difference = self.trigger_whole_read

    async def run(self, signals: StopSignals) -> int:
        """Serve until the first signal, then shut down gracefully."""
        started_at = self.state.now()
        listeners = await Listeners.open(self.state, self.handler, self.pages())
        log_event(
            events.CATALOGUE.STARTED,
            host=self.state.settings.name,
            entry=str(self.state.settings.entry),
            domain=self.state.settings.failure_domain,
        )
        async with contextlib.AsyncExitStack() as stack:
            for coroutine in self.background_tasks(started_at):
                task = asyncio.create_task(coroutine)
                stack.callback(task.cancel)
            await signals.requested.wait()
            await self.shut_down(listeners)
        return 0

    def background_tasks(
        self, started_at: float
    ) -> list[Coroutine[None, None, None]]:
        """Return the supervised tasks that run besides the listeners."""
        return [
            run_supervised('beats', self.heartbeats.run),
            run_supervised('join', self.keeper.join),
            run_supervised('keep', self.keeper.maintain),
            run_supervised('settings', self.watch_settings),
            run_supervised('load', self.load.run),
            run_supervised('memory', self.handler.memory.keep_counting),
            run_supervised('readiness', lambda: self.log_readiness(started_at)),
            *(
                run_supervised(topic.value, watch.run)
                for topic, watch in self.watches.items()
            ),
        ]

    def pages(self) -> Sequence[Pages]:
        """Return the pages of all addresses other than the entry."""
        copies = make_copy_pages(self.state, self.watches[Topic.CONFIGURATION])
        return (*self.adapter.pages(self.state), copies)

    def poll_all_tables(self) -> None:
        """Read all tables now, because the store has returned."""
        for watch in self.watches.values():
            watch.poll_now()

    def trigger_read(self, topic: Topic) -> None:
        """Read the store now, because a peer has other data on a topic."""
        self.watches[topic].poll_now()

    def trigger_whole_read(self, topic: Topic) -> None:
        """Read a whole table now, because a peer differs for long."""
        self.watches[topic].read_whole_now()

    def reload(self) -> None:
        """Apply changed settings, as far as they can change while running."""
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

    async def watch_settings(self) -> None:
        """Reload changed settings without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            if self.adapter.settings_changed():
                self.reload()

    async def log_readiness(self, started_at: float) -> None:
        """Log when the host becomes ready."""
        while not self.state.is_ready:
            await asyncio.sleep(POLL_INTERVAL_S)
        log_event(
            events.CATALOGUE.READY,
            after_s=round(self.state.now() - started_at, 3),
            version=self.state.view.version,
            upstreams=len(self.state.view.upstreams.by_name),
            members=len(self.state.share.members),
        )

    async def shut_down(self, listeners: Listeners) -> None:
        """Stop attracting callers, then let requests in flight finish."""
        self.state.leaving = True
        now = self.state.now()
        grace_s = self.state.settings.bounds.grace_s
        log_event(
            events.CATALOGUE.STOPPING,
            requests=len(self.handler.tasks),
            connections=len(self.handler.connections),
        )
        self.heartbeats.tick()
        self.state.serves_until = now + grace_s * SERVING_FRACTION
        await self.wait_for_idle(now + grace_s * ACCEPTING_FRACTION)
        listeners.close()
        for connection in tuple(self.handler.connections):
            drain(connection)
        drain_until = now + grace_s * DRAIN_FRACTION
        while self.handler.is_busy and self.state.now() < drain_until:
            await asyncio.sleep(POLL_INTERVAL_S)
        log_event(
            events.CATALOGUE.STOPPED,
            cut_requests=len(self.handler.tasks),
            took_s=round(self.state.now() - now, 3),
        )

    async def wait_for_idle(self, until: float) -> None:
        """Serve until a time, or until no requests have come for a while."""
        last_busy_at = self.state.now()
        while self.state.now() < until:
            if self.handler.tasks:
                last_busy_at = self.state.now()
            if self.state.now() - last_busy_at > IDLE_BEFORE_CLOSE_S:
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def run_supervised(
    name: str,
    run_task: Callable[[], Coroutine[None, None, None]],
) -> None:
    """Run a task; restart it after an unexpected exception."""
    while True:
        try:
            return await run_task()
        except asyncio.CancelledError:
            raise
        except Exception as error:  # noqa: BLE001
            log_event(
                events.CATALOGUE.HANDLER_FAILED,
                part=name,
                error=repr(error),
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def run_host(
    adapter: Adapter,
    state: HostState,
) -> int:
    """Run the host program until it has shut down."""
    configure_logs(adapter.settings, state.metrics)
    program = HostProgram(adapter, state)
    with asyncio.Runner(loop_factory=BootLoop) as runner:
        return runner.run(start(program))


async def start(program: HostProgram) -> int:
    """Install signal handlers, then run the program."""
    signals = StopSignals.install()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    if isinstance(loop, BootLoop):
        program.handler.iterations = loop.iterations
    return await program.run(signals)


def configure_logs(settings: HostSettings, metrics: HostMetrics) -> None:
    """Write JSON log lines to standard output, up to the volume limit."""
    count_suppressed = metrics.log_lines_suppressed.inc
    configure(
        settings.log_level,
        'json',
        BoundedHandler.for_stdout(count_suppressed),
    )
    omit_unused_log_fields()
