"""Routes whose handlers are methods that take the request alone."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from blacksheep import Application, Request, Response, Router

Handler = Callable[[Request], Awaitable[Response]]


def new_application() -> Application:
    """Return an application with a router of its own and no debug pages."""
    return Application(router=Router(), show_error_details=False)


def add_route(app: Application, method: str, path: str, handler: Handler) -> None:
    """Route a method and a path to a handler.

    The library marks handlers with attributes, which bound methods refuse.
    """

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)


def path_value(request: Request, name: str) -> str:
    """Return the part of the path that a route names."""
    return unquote(request.route_values[name])


def query_value(request: Request, name: str, default: str = "") -> str:
    """Return the first value of a query parameter."""
    values = request.query.get(name)
    return values[0] if values else default
