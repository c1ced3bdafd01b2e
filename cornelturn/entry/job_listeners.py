"""HTTP listeners of an entry that schedules jobs: callers, health and metrics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from blacksheep import Application

from cornelturn.entry.job_settings import JobEntrySettings, split_address
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.http.connection_guard import ConnectionGuard
from cornelturn.http.organisation_views import add_organisation_routes
from cornelturn.http.process_budget import derive_limits
from cornelturn.http.routes import add_health_routes, add_metrics_route, new_application
from cornelturn.http.server import HttpServer
from cornelturn.model.routes import CallerLimits
from cornelturn.organisation_view.shown import ShownView


@dataclass(frozen=True, slots=True)
class JobListeners:
    """The listeners of an entry."""

    callers: HttpServer
    health: HttpServer
    metrics: HttpServer

    async def start_monitoring(self) -> None:
        """Start the listeners for health checks and metrics."""
        await self.health.start()
        await self.metrics.start()

    async def start_callers(self) -> int:
        """Start the listener for callers, and return its port."""
        return await self.callers.start()

    async def stop(self) -> None:
        """Stop all listeners, that for callers first."""
        await self.callers.stop()
        await self.health.stop()
        await self.metrics.stop()


def new_job_listeners(
    settings: JobEntrySettings,
    callers: Application,
    job_metrics: JobMetrics,
    is_ready: Callable[[], bool],
    read_limits: Callable[[], CallerLimits],
    read_organisations: Callable[[str], ShownView | None],
) -> JobListeners:
    """Return listeners that share one guard of their connections.

    Parameters
    ----------
    callers : Application
        Handles the requests of callers.
    is_ready : callable
        Returns whether the load balancer should send callers to this entry.
    read_limits : callable
        Returns the limits of the configuration in force.
    read_organisations : callable
        As `read_view` of `add_organisation_routes`.
    """
    health, metrics = new_application(), new_application()
    add_health_routes(health, is_ready)
    add_metrics_route(metrics, job_metrics.registry)
    add_organisation_routes(metrics, read_organisations)
    guard = ConnectionGuard(
        derive_limits(settings.memory_mb, settings.max_descriptors),
        read_limits,
        job_metrics.refused_connections,
    )

    def listener(application: Application, address: str) -> HttpServer:
        return HttpServer(application, *split_address(address), guard=guard)

    return JobListeners(
        callers=listener(callers, settings.callers_address),
        health=listener(health, settings.ready_address),
        metrics=listener(metrics, settings.metrics_address),
    )
