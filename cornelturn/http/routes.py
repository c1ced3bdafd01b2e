"""Helpers to add routes to an application, and to read paths, queries and headers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from blacksheep import Application, Content, Request, Response, Router
from prometheus_client import CollectorRegistry, generate_latest

from cornelturn.http.problems import json_response
from cornelturn.model.decoding import parse_number

Handler = Callable[[Request], Awaitable[Response]]


def new_application() -> Application:
    """Return an application with its own router and without debug pages."""
    return Application(router=Router(), show_error_details=False)


def add_route(app: Application, method: str, path: str, handler: Handler) -> None:
    """Route a method and a path to a handler.

    A wrapper function is routed: the library sets attributes on handlers, which bound
    methods do not allow.
    """

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)


def add_health_routes(app: Application, is_ready: Callable[[], bool]) -> None:
    """Route ``/healthz`` and ``/readyz``.

    Parameters
    ----------
    app : Application
        Application of a listener.
    is_ready : callable
        Returns whether the load balancer should send requests to this entry.
    """

    async def healthz(request: Request) -> Response:
        return json_response(200, {"status": "ok"})

    async def readyz(request: Request) -> Response:
        if is_ready():
            return json_response(200, {"status": "ready"})
        return json_response(503, {"status": "not_ready"})

    add_route(app, "GET", "/healthz", healthz)
    add_route(app, "GET", "/readyz", readyz)


def add_metrics_route(app: Application, registry: CollectorRegistry) -> None:
    """Route ``/metrics``, in the text format of Prometheus."""

    async def metrics(request: Request) -> Response:
        body = generate_latest(registry)
        return Response(200, content=Content(b"text/plain; version=0.0.4", body))

    add_route(app, "GET", "/metrics", metrics)


def path_value(request: Request, name: str) -> str:
    """Return the decoded value of a named part of the path of a route."""
    return unquote(request.route_values[name])


def query_value(request: Request, name: str, default: str = "") -> str:
    """Return the first value of a query parameter."""
    values = request.query.get(name)
    return values[0] if values else default


def header_text(request: Request, name: bytes) -> str:
    """Return the text of a header, empty if the request has none."""
    value = request.get_first_header(name)
    return value.decode("latin-1").strip() if value is not None else ""


def header_number(request: Request, name: bytes) -> int | None:
    """Return the number in a header, None if it has none or too many digits."""
    return parse_number(header_text(request, name))
