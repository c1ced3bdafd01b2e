"""Answers about organisations and their routes; keys of organisations are left out."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from blacksheep import Application, Request, Response

from cornelturn.http.problems import bad_request, json_response
from cornelturn.http.report_responses import (
    bad_format,
    report_response,
    requested_format,
)
from cornelturn.http.routes import add_route, query_value
from cornelturn.model.decoding import Int64
from cornelturn.organisation_view.rows import OrganisationRow
from cornelturn.organisation_view.shown import ShownView
from cornelturn.quota.amounts import Amount
from cornelturn.reports.organisations import organisation_report

ORGANISATIONS_PATH = "/organisations"
ORGANISATION_REPORT_PATH = "/reports/organisations"

THOUSANDTHS = 1_000
"""Shares in answers are in thousandths, as in log lines."""


class AmountView(msgspec.Struct, frozen=True):
    """Amount of each resource, CPU in thousandths of a core."""

    cpu: Int64
    mem_mb: Int64
    gpu: Int64


class ConfirmedView(msgspec.Struct, frozen=True):
    """Since when a cap is in force at the owners of all pools.

    Parameters
    ----------
    since : str
        When the last owner had the version.
    spread_ms : int
        Time from the first owner that had it to the last.
    """

    version: Int64
    since: str
    spread_ms: Int64


class OrganisationView(msgspec.Struct, frozen=True):
    """One organisation; fields as in `OrganisationRow`, the share in thousandths."""

    organisation: str
    weight: float | None
    running: AmountView
    runs: Int64
    cap: AmountView
    confirmed: ConfirmedView | None
    share: Int64
    waiting_tasks: Int64
    waiting_cpu: Int64
    refusals: dict[str, Int64]
    age_ms: Int64 | None
    counted_since: str | None
    missing_pools: tuple[str, ...]


class MissingPoolView(msgspec.Struct, frozen=True):
    """A pool from whose owner no figures have arrived lately."""

    pool: str
    age_ms: Int64 | None


class OrganisationsBody(msgspec.Struct, frozen=True):
    """Body of GET /organisations.

    Parameters
    ----------
    entry : str
        Entry that answers.
    version : int
        Version of the configuration in force there.
    pools : dict
        Age of the figures of each pool.
    """

    entry: str
    version: Int64
    pools: dict[str, Int64]
    missing_pools: tuple[MissingPoolView, ...]
    organisations: tuple[OrganisationView, ...]


def organisations_body(shown: ShownView) -> OrganisationsBody:
    """Return the body of what an entry shows."""
    view = shown.view
    return OrganisationsBody(
        shown.entry,
        view.version,
        view.pools,
        tuple(MissingPoolView(item.pool, item.age_ms) for item in view.missing_pools),
        tuple(_organisation(row, shown) for row in view.rows),
    )


def _organisation(row: OrganisationRow, shown: ShownView) -> OrganisationView:
    confirmed = None
    if row.confirmed is not None:
        confirmed = ConfirmedView(
            row.confirmed.version,
            shown.timestamp(shown.now_ms - row.confirmed.age_ms),
            row.confirmed.spread_ms,
        )
    return OrganisationView(
        row.organisation,
        row.weight,
        _amount(row.running),
        row.runs,
        _amount(row.cap),
        confirmed,
        round(row.share * THOUSANDTHS),
        row.waiting_tasks,
        row.waiting_cpu,
        dict(sorted(row.refusals.items())),
        row.age_ms,
        shown.timestamp(row.since_ms) if row.since_ms is not None else None,
        row.missing_pools,
    )


def _amount(amount: Amount) -> AmountView:
    return AmountView(*amount)


def add_organisation_routes(
    app: Application, read_view: Callable[[str], ShownView | None]
) -> None:
    """Route ``/organisations``, and its report as pages.

    Parameters
    ----------
    read_view : callable
        Returns the rows of one pool, or of all pools for an empty name; None for a
        pool that is not known.
    """

    async def organisations(request: Request) -> Response:
        shown = read_view(query_value(request, "pool"))
        if shown is None:
            return _no_such_pool()
        return json_response(200, organisations_body(shown))

    async def report(request: Request) -> Response:
        report_format = requested_format(request)
        if report_format is None:
            return bad_format()
        shown = read_view(query_value(request, "pool"))
        if shown is None:
            return _no_such_pool()
        return report_response(organisation_report(shown), report_format)

    add_route(app, "GET", ORGANISATIONS_PATH, organisations)
    add_route(app, "GET", ORGANISATION_REPORT_PATH, report)


def _no_such_pool() -> Response:
    return bad_request(404, "No such pool")
