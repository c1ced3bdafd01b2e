"""The task that takes over the requests of entries whose lease has lapsed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import Mailbox
from cornelturn.fleet.lease import ObservedLease
from cornelturn.model.configuration import Configuration
from cornelturn.peering.messages import PeerAddress
from cornelturn.requests.claims import (
    Claimed,
    ClaimLost,
    Claims,
    ClaimUnavailable,
    RecordRead,
)
from cornelturn.requests.driving import RequestDriver
from cornelturn.requests.records import (
    RequestRecord,
    RequestState,
    open_prefix,
)
from cornelturn.requests.work import Work
from cornelturn.store.rows import Delete
from cornelturn.store.table import Table


@dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """The lease of an entry has lapsed, so its requests have no driver."""

    lease: ObservedLease


@dataclass(slots=True)
class Recovery:
    """Adopts the requests of lapsed entries, each on condition of its row's version.

    The lease row is deleted last, so that after a crash another entry adopts the
    remaining requests.
    """

    own: PeerAddress
    table: Table
    clock: Clock
    claims: Claims
    driver: RequestDriver
    configuration: Callable[[], Configuration]
    mailbox: Mailbox[LeaseLapsed] = field(default_factory=Mailbox)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for message in self.mailbox.messages():
            await self._take_over(message.lease)

    async def _take_over(self, lease: ObservedLease) -> None:
        prefix = open_prefix(lease.peer.name, lease.peer.incarnation)
        match await self.table.scan(prefix):
            case Err(_):
                return
            case Ok(page):
                pass
        is_complete = True
        for row in page.rows:
            member, request = row.key.removeprefix(prefix).split("/", 1)
            is_complete &= await self._adopt(lease.peer, member, request)
        if is_complete:
            await self.table.commit(Delete(lease.row.key, lease.row.version))
            log_event("taken_over", entry=lease.peer.name, requests=len(page.rows))

    async def _adopt(self, peer: PeerAddress, member: str, request: str) -> bool:
        """Adopt one request; return False if the adoption must be retried.

        Its driver may still be alive and have recorded the outcome after the listing.
        """
        match await self.claims.read_record(member, request):
            case ClaimUnavailable():
                return False
            case RecordRead(RequestRecord() as record, version):
                pass
            case RecordRead():
                return True
        is_driven_by_peer = record.is_driven_by(peer.name, peer.incarnation)
        if not record.is_open() or not is_driven_by_peer:
            return True
        result = await self.claims.adopt(
            record, version, self.own.name, self.own.incarnation
        )
        match result:
            case Claimed():
                return await self._continue_request(result)
            case ClaimLost():
                return True
            case ClaimUnavailable():
                return False

    async def _continue_request(self, claimed: Claimed) -> bool:
        record = claimed.record
        log_event("adopt", request=record.request, state=record.state)
        if record.state is RequestState.STARTED:
            self.driver.resume(claimed)
            return True
        queue = self.configuration().queue(record.queue)
        payload = await self.claims.load_blob(record.payload)
        if queue is None or payload is None:
            log_warning("adopt_postponed", request=record.request)
            return False
        work = Work(
            request=record.request,
            member=record.member,
            queue=queue,
            payload=payload,
            content_type=record.content_type,
            deadline_ms=self.clock.now_ms() + record.deadline_ms,
            size=record.size,
        )
        self.driver.drive(work, claimed)
        return True
