"""Body of responses about organisations, and its route; keys are never part of it."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime

import msgspec
from blacksheep import Application, Request, Response

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.http.problems import bad_request, json_response
from cornelturn.http.routes import add_route, query_value
from cornelturn.model.decoding import Int64
from cornelturn.organisation_view.rows import OrganisationRow, OrganisationsView
from cornelturn.quota.amounts import Amount

ORGANISATIONS_PATH = "/organisations"

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
    """A pool whose owner has not told its figures lately."""

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


def organisations_body(
    entry: str, view: OrganisationsView, now_ms: int, unix_offset_ms: int
) -> OrganisationsBody:
    """Return the body of a view.

    Parameters
    ----------
    unix_offset_ms : int
        Unix time minus the time of the process's clock.
    """

    def timestamp(time_ms: int) -> str:
        unix_s = (time_ms + unix_offset_ms) / MILLISECONDS_PER_SECOND
        moment = datetime.fromtimestamp(unix_s, UTC)
        return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")

    def organisation(row: OrganisationRow) -> OrganisationView:
        confirmed = None
        if row.confirmed is not None:
            confirmed = ConfirmedView(
                row.confirmed.version,
                timestamp(now_ms - row.confirmed.age_ms),
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
            timestamp(row.since_ms) if row.since_ms is not None else None,
            row.missing_pools,
        )

    return OrganisationsBody(
        entry,
        view.version,
        view.pools,
        tuple(MissingPoolView(item.pool, item.age_ms) for item in view.missing_pools),
        tuple(organisation(row) for row in view.rows),
    )


def _amount(amount: Amount) -> AmountView:
    return AmountView(*amount)


def add_organisation_routes(
    app: Application, read_body: Callable[[str], OrganisationsBody | None]
) -> None:
    """Route ``/organisations``.

    Parameters
    ----------
    read_body : callable
        Returns the rows of one pool, or of all pools for an empty name; None for a
        pool that is not known.
    """

    async def organisations(request: Request) -> Response:
        body = read_body(query_value(request, "pool"))
        if body is None:
            return bad_request(404, "No such pool")
        return json_response(200, body)

    add_route(app, "GET", ORGANISATIONS_PATH, organisations)
