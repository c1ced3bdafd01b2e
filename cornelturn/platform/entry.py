"""Builds an entry on the users' platform from its settings file."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from cornelturn.clock import Clock
from cornelturn.entry.job_process import JobEntry, Ports, WatchEvents
from cornelturn.entry.job_settings import JobEntrySettings
from cornelturn.model.routes import RoutingTable
from cornelturn.platform.documents import encode_wave_status, wave_status_key
from cornelturn.platform.ingress import Ingress
from cornelturn.platform.machines import PlatformMachines
from cornelturn.platform.store import PlatformStore
from cornelturn.platform.targets import TargetCalls
from cornelturn.platform.watch import OperatorWatch, TargetWatch
from cornelturn.store.rows import Put


def read_boot_time_ns() -> int:
    """Return a steady clock that also counts the time of a suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class PlatformWatches:
    """The watches of the platform's store."""

    store: PlatformStore
    events: WatchEvents
    operator: OperatorWatch = field(init=False)
    targets: TargetWatch = field(init=False)

    def __post_init__(self) -> None:
        events = self.events
        self.operator = OperatorWatch(self.store, events.adopted, events.waves)
        self.targets = TargetWatch(self.store, events.is_needed, events.listed)

    async def run_operator(self) -> None:
        """Follow the configuration and the waves for ever."""
        await self.operator.run()

    async def run_targets(self) -> None:
        """Read the list of targets for ever."""
        await self.targets.run()

    def offer(self, text: str) -> None:
        """Adopt the document of a configuration if it is newer."""
        self.operator.offer(text)

    def routing(self) -> RoutingTable | None:
        """Return the configuration in force."""
        return self.operator.current

    def want_targets(self) -> None:
        """Have the list of targets read at once."""
        self.targets.wanted.set()


def build_entry(settings: JobEntrySettings) -> JobEntry:
    """Return an entry that is wired to the platform."""
    return JobEntry(settings, platform_ports(settings), Clock(read_boot_time_ns))


def platform_ports(settings: JobEntrySettings) -> Ports:
    """Return the platform as an entry needs it."""
    store = PlatformStore(settings.store_address)
    return Ports(
        store=store,
        machines=PlatformMachines(settings.machines_address, settings.name),
        open_calls=TargetCalls,
        status=lambda wave, is_completed: Put(
            wave_status_key(wave), encode_wave_status(is_completed)
        ),
        watches=lambda events: PlatformWatches(store, events),
        callers=lambda service, routing: Ingress(service, routing).application(),
    )
