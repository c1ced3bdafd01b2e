"""Calls from the command line to the operators' API of an entry."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from enum import IntEnum
from typing import NoReturn

import msgspec
import typer
from result import Err, Ok, Result

from cornelturn.store.http_client import CallError, HttpResponse, call, open_session

CALL_TIMEOUT_MS = 10_000
URL_VARIABLE = "CORNELTURN_OPERATORS_URL"
TOKEN_VARIABLE = "CORNELTURN_OPERATORS_TOKEN"
DEFAULT_URL = "http://127.0.0.1:9080"


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_ALLOWED = 6
    NOT_IN_FORCE = 7


@dataclass(frozen=True, slots=True)
class Endpoint:
    """URL and token for the operators' API of an entry."""

    url: str
    token: str


def read_endpoint() -> Endpoint:
    """Return the endpoint from the environment, with the default URL if none is set."""
    url = os.environ.get(URL_VARIABLE, DEFAULT_URL)
    return Endpoint(url, os.environ.get(TOKEN_VARIABLE, ""))


async def send_request(
    endpoint: Endpoint, method: str, path: str, body: bytes | None, if_match: int | None
) -> Result[HttpResponse, CallError]:
    """Send one request to the operators' API."""
    headers = [(b"Authorization", f"Bearer {endpoint.token}".encode())]
    if if_match is not None:
        headers.append((b"If-Match", f'"{if_match}"'.encode()))
    session = open_session(endpoint.url, CALL_TIMEOUT_MS)
    try:
        return await call(session, method, path, CALL_TIMEOUT_MS, body, headers)
    finally:
        await session.close()


def request_or_exit(
    method: str,
    path: str,
    body: bytes | None = None,
    if_match: int | None = None,
    endpoint: Endpoint | None = None,
) -> HttpResponse:
    """Return the answer to a request; print an error line and exit if it fails.

    Parameters
    ----------
    endpoint : Endpoint or None
        None for the one of the environment.

    Raises
    ------
    typer.Exit
        With the exit code for the failure.
    """
    endpoint = endpoint or read_endpoint()
    result = asyncio.run(send_request(endpoint, method, path, body, if_match))
    match result:
        case Ok(answer) if answer.status < 300:
            return answer
        case Ok(answer):
            exit_with_error(exit_code_for_status(answer.status), problem_text(answer))
        case Err(error):
            exit_with_error(ExitCode.UNAVAILABLE, f"{endpoint.url}: {error.detail}")


def exit_with_error(code: ExitCode, text: str) -> NoReturn:
    """Print an error line and exit."""
    typer.echo(f"error: {text}", err=True)
    raise typer.Exit(int(code))


def exit_code_for_status(status: int) -> ExitCode:
    """Return the exit code for an HTTP status."""
    match status:
        case 401:
            return ExitCode.NOT_ALLOWED
        case 400 | 404 | 409 | 413 | 422 | 428:
            return ExitCode.REFUSED
        case 412:
            return ExitCode.CONFLICT
        case 503 | 504:
            return ExitCode.UNAVAILABLE
        case _:
            return ExitCode.FAILED


class ProblemBody(msgspec.Struct, frozen=True):
    """Fields that the bodies of error answers may have."""

    title: str = ""
    detail: str = ""
    problems: tuple[str, ...] = ()
    found_generation: int = 0
    preset: str = ""


def problem_text(answer: HttpResponse) -> str:
    """Return the reason of an error answer on one line."""
    try:
        body = msgspec.json.decode(answer.body, type=ProblemBody)
    except msgspec.DecodeError:
        return f"status {answer.status}"
    parts = [body.title, body.detail, *body.problems]
    if body.found_generation:
        parts.append(
            f"generation {body.found_generation} with preset {body.preset} won"
        )
    return "; ".join(part for part in parts if part)


def decode_body(answer: HttpResponse) -> object:
    """Return the JSON body of an answer."""
    return msgspec.json.decode(answer.body)


def print_answer(answer: HttpResponse, as_json: bool, columns: tuple[str, ...]) -> None:
    """Print an answer as JSON, or as a table of the given columns."""
    if as_json:
        typer.echo(answer.body.decode())
        return
    rows = decode_body(answer)
    if isinstance(rows, dict):
        rows = [rows]
    print_table(
        columns,
        [tuple(_format_cell(row.get(name)) for name in columns) for row in rows],
    )


def print_table(columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Print rows under the names of their columns, each as wide as its cells."""
    cells = [columns, *rows]
    widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
    for row in cells:
        line = "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        )
        typer.echo(line.rstrip())


def _format_cell(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case list():
            return ",".join(str(item) for item in value) or "-"
        case _:
            return str(value)
