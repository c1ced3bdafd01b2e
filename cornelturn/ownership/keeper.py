"""The task that keeps this entry's lease and takes and gives back duties."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from cornelturn.clock import Clock
from cornelturn.events.background import start_background
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import Mailbox, answer
from cornelturn.fleet.lease import (
    LeaseRow,
    LeaseWatch,
    decode_lease,
    encode_lease,
)
from cornelturn.ownership.duties import (
    FLEET_DUTY,
    HISTORY_LAG_MS,
    CandidateEntries,
    DutyRow,
    Holder,
    VersionedDuty,
    decode_duty,
    duties_to_take,
    duty_from_key,
    duty_key,
    duty_to_hand_over,
    encode_duty,
    entry_key,
    is_entry_key,
    possibly_active_holders,
)
from cornelturn.ownership.member_rows import MemberRows
from cornelturn.ownership.messages import (
    DutyEvent,
    DutyLost,
    DutyTaken,
    HandOverDue,
    KeeperMessage,
    OutageQueryDue,
    PoolSizesReported,
    PredecessorAnswered,
    PredecessorQueryDue,
    PredecessorsInactive,
    ProbeDuty,
    ReconcileDue,
    RecordTargets,
    ReleaseAllDuties,
    ReleaseDuty,
    RowWrite,
)
from cornelturn.ownership.standing import ActingAuthority
from cornelturn.ownership.witnesses import HolderEvidence
from cornelturn.peering.messages import (
    OutageShared,
    PeerAddress,
    PoolGivenUp,
)
from cornelturn.routing.rendezvous import rendezvous_owner
from cornelturn.store.port import RowStore
from cornelturn.store.rows import (
    ABSENT,
    Committed,
    Delete,
    Put,
    Row,
    TableConflict,
    TableError,
)

RENEW_INTERVAL_S = 1.0
"""Time between two renewals; an entry is missed after two and a half of them."""

ENTRY_LEASE_MS = 2_500
"""Time without a renewal after which an entry's duties are taken over."""

MAX_RECONCILE_GAP_MS = 2_000
"""Time between two looks after which nothing is concluded from the first."""

SETTLE_MS = 700
"""Time after the start in which an entry takes no duty, so that all are seen that
start with it: processes start within half a second of each other."""

FIRST_CONTACT_MS = 2_500
"""Time in which an entry may be reachable though nothing has been heard of it yet:
two heartbeats and a margin."""

HAND_OVER_PAUSE_MS = 2_000
"""Pause after a hand-over, in which the new holder shows up in the rows."""

MAX_READ_AGE_MS = 12_000
"""Time for which a holder goes on without having read its row, if others have no store
either: longer than the outages of the store in which nobody can take over."""

AUTHORITY_CHECK_INTERVAL_S = 0.25
"""Time between two looks at whether this entry may still act."""

RECONCILE_DELAY_S = 0.05
"""Delay of a look after entries came or went, so that one look serves several."""

TAKE_PAUSE_MS = 2_000
"""Pause in taking duties after a write without an answer, in which leases and rows
are not held up by the next one."""

RELEASE_RETRY_S = 0.3
"""Pause after a duty could not be released, since the store did not answer."""

LEASE_RETENTION_MS = 20_000
"""Time after which the row of an entry that is gone is deleted."""


@dataclass(slots=True)
class DutyKeeper:
    """Keeps the rows of this entry.

    Parameters
    ----------
    required_duties : callable
        Returns the duties that somebody should hold.
    reachable_entries : callable
        Returns the entries that this one hears now.
    on_peers_read : callable
        Called with the addresses of all entries.
    on_event : callable
        Called with each duty taken, lost or to be handed over.
    processor : float
        Cores that this entry may use.
    first_seen_ms : dict
        When each entry was first seen in the rows.
    given_up : dict
        Generations of the duties that were lost.
    predecessors : dict
        Holders before this entry that may still act, by duty.
    holders_to_query : dict
        The last of these, if it can tell all that may go on, by duty.
    replacement_seen_ms : dict
        Since when this entry knows that a holder of a duty was replaced.
    inactive_since_ms : dict
        Until when holders before may have acted that are gone now, by duty.
    authority : ActingAuthority
        How long this entry may act.
    evidence : HolderEvidence
        What the leases prove about holders before this entry.
    take_after_ms : int
        When duties may be taken again after a write without an answer.
    unanswered_duties : set of str
        Duties whose last taking had no answer.
    last_lease : LeaseRow or None
        Lease as it was written last.
    lease_version : int
        Version of the last renewal that was acknowledged.
    pool_sizes : dict
        Machines of each pool before any move, as told by the owner of the machines.
    probe_tasks : set of Task
        Writes of rows as they stand; renewals do not wait for them.
    """

    own: PeerAddress
    store: RowStore
    clock: Clock
    required_duties: Callable[[], frozenset[str]]
    reachable_entries: Callable[[], frozenset[str]]
    on_peers_read: Callable[[tuple[PeerAddress, ...]], None]
    on_event: Callable[[DutyEvent], None]
    processor: float = 1.0
    mailbox: Mailbox[KeeperMessage] = field(default_factory=Mailbox)
    lease_watch: LeaseWatch = field(
        default_factory=lambda: LeaseWatch(
            lease_ms=ENTRY_LEASE_MS, gap_ms=MAX_RECONCILE_GAP_MS
        )
    )
    member_rows: MemberRows = field(init=False)
    known_duties: dict[str, VersionedDuty] = field(default_factory=dict)
    held_duties: dict[str, int] = field(default_factory=dict)
    given_up: dict[str, int] = field(default_factory=dict)
    predecessors: dict[str, tuple[Holder, ...] | None] = field(default_factory=dict)
    holders_to_query: dict[str, Holder] = field(default_factory=dict)
    replacement_seen_ms: dict[tuple[str, Holder], int] = field(default_factory=dict)
    inactive_since_ms: dict[str, int] = field(default_factory=dict)
    authority: ActingAuthority = field(default_factory=ActingAuthority)
    evidence: HolderEvidence = field(
        default_factory=lambda: HolderEvidence(LEASE_RETENTION_MS)
    )
    first_seen_ms: dict[PeerAddress, int] = field(default_factory=dict)
    pool_sizes: dict[str, int] = field(default_factory=dict)
    probe_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    started_ms: int = 0
    last_hand_over_ms: int = 0
    take_after_ms: int = 0
    unanswered_duties: set[str] = field(default_factory=set)
    last_lease: LeaseRow | None = None
    lease_version: int = ABSENT
    last_read_ms: int = 0
    renewals: int = 0
    is_renewed: bool = False
    is_renewal_pending: bool = False
    is_reconcile_pending: bool = False
    is_reconcile_scheduled: bool = False
    is_store_reachable: bool = False
    is_releasing: bool = False
    is_acting: bool = True

    def __post_init__(self) -> None:
        self.member_rows = MemberRows(
            self.store,
            self.clock,
            self.evidence.record_deletions,
            self.evidence.record_full_read,
        )

    async def run(self) -> None:
        """Serve messages for ever."""
        self.started_ms = self.clock.now_ms()
        self.authority.start(self.started_ms)
        async for message in self.mailbox.messages():
            match message:
                case ReconcileDue(is_renewal):
                    await self._reconcile(is_renewal)
                case RecordTargets(reply=reply):
                    answer(reply, await self._record_targets(message))
                case PoolSizesReported(machines):
                    self.pool_sizes = machines
                    await self._write_pool_sizes()
                case ProbeDuty():
                    start_background(self.probe_tasks, self._probe_duty(message))
                case ReleaseDuty(duty, reply):
                    answer(reply, await self._release_duty(duty))
                case ReleaseAllDuties(reply):
                    await self._release_all_duties()
                    answer(reply, None)

    async def renew_periodically(self) -> None:
        """Have the lease renewed at a fixed interval; no renewals queue up."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            self.request_renewal()

    def request_renewal(self) -> None:
        """Have the lease renewed and the rows read at once."""
        if not self.is_renewal_pending:
            self.is_renewal_pending = True
            self.mailbox.post(ReconcileDue())

    def request_reconcile(self) -> None:
        """Have the rows read at once, since a duty has changed."""
        if not self.is_reconcile_pending:
            self.is_reconcile_pending = True
            self.mailbox.post(ReconcileDue(is_renewal=False))

    def schedule_reconcile(self) -> None:
        """Have the rows read, since entries came or went: often many in a moment."""
        if not self.is_reconcile_scheduled:
            self.is_reconcile_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(RECONCILE_DELAY_S, self._start_scheduled_reconcile)

    def _start_scheduled_reconcile(self) -> None:
        self.is_reconcile_scheduled = False
        self.request_reconcile()

    async def maintain_authority(self) -> None:
        """Ask the others for ever while this entry cannot read its rows.

        It waits for no call to the store, unlike the looks.
        """
        while True:
            await asyncio.sleep(AUTHORITY_CHECK_INTERVAL_S)
            now_ms = self.clock.now_ms()
            if self.held_duties and self.authority.needs_outage_reports(now_ms):
                self.on_event(OutageQueryDue(now_ms))
            self._log_authority_change()

    def report_outage(self) -> bool:
        """Return whether this entry has no store, to be told to one that asks."""
        return not self.is_releasing and self.authority.report_outage(
            self.clock.now_ms()
        )

    def receive_outage_report(self, peer: str, shared: OutageShared) -> None:
        """Take in that another entry had no store when it was asked."""
        if shared.incarnation == self.own.incarnation:
            self.authority.add_outage_report(peer, shared.asked_ms, self.clock.now_ms())

    def _log_authority_change(self) -> None:
        may_act = not self.held_duties or self.may_act()
        if may_act == self.is_acting:
            return
        self.is_acting = may_act
        if may_act:
            log_event(
                "orders_resumed", entry=self.own.name, duties=len(self.held_duties)
            )
        else:
            log_warning(
                "orders_paused", entry=self.own.name, duties=len(self.held_duties)
            )

    def may_act(self) -> bool:
        """Return whether this entry may still use the duties that it has."""
        now_ms = self.clock.now_ms()
        is_read = now_ms - self.last_read_ms < MAX_READ_AGE_MS
        return is_read and self.authority.may_act(now_ms)

    def holder(self, duty: str) -> str:
        """Return the entry that holds a duty, as last read."""
        known = self.known_duties.get(duty)
        return known.row.holder if known is not None else ""

    def generation(self, duty: str) -> int:
        """Return the generation of a duty, as last read; 0 if there is none."""
        known = self.known_duties.get(duty)
        return known.row.generation if known is not None else 0

    async def _reconcile(self, is_renewal: bool) -> None:
        if self.is_releasing:
            return
        self.is_reconcile_pending = False
        if is_renewal:
            self.is_renewal_pending = False
            await self._renew()
        match await self.member_rows.refresh():
            case Ok(sent_ms):
                self._record_read(sent_ms)
            case Err(detail):
                self._record_failed_read(detail)
                return
        now_ms = self.clock.now_ms()
        rows = self.member_rows.rows.values()
        lease_rows = tuple(row for row in rows if is_entry_key(row.key))
        self.lease_watch.observe(lease_rows, now_ms)
        self._update_authority()
        leases = self.lease_watch.seen.values()
        peers = [lease.peer for lease in leases]
        self.first_seen_ms = {
            peer: self.first_seen_ms.get(peer, now_ms) for peer in peers
        }
        self.on_peers_read(tuple(lease.peer for lease in leases if not lease.is_over))
        duty_rows = ((duty_from_key(row.key), row) for row in rows)
        self.known_duties = {
            duty: known
            for duty, row in duty_rows
            if duty is not None
            and (known := self._decode_if_changed(duty, row)) is not None
        }
        self._record_replaced_holders(now_ms)
        self._update_held_duties()
        self._check_predecessors(now_ms)
        if self.is_renewed and now_ms - self.started_ms >= SETTLE_MS:
            await self._take_free_duties(now_ms)
            self._balance(now_ms)
        await self._write_pool_sizes()
        self._query_predecessors()
        await self._delete_stale_lease(now_ms)

    def _update_authority(self) -> None:
        """Take in which renewals were read, of this entry and of the others."""
        self.evidence.observe(self.lease_watch.seen)
        names = frozenset(lease.peer.name for lease in self.lease_watch.seen.values())
        self.authority.others = names - {self.own.name}
        own_lease = self.lease_watch.seen.get(entry_key(self.own.name))
        # A row beyond the revision was read before others that may be older.
        is_own = (
            own_lease is not None and own_lease.peer.incarnation == self.own.incarnation
        )
        if is_own and own_lease.row.version <= self.member_rows.revision:
            self.authority.confirm_renewal(own_lease.renewals)

    async def _renew(self) -> None:
        """Renew the lease; the first renewal replaces that of the life before."""
        previous = None if self.renewals else await self._previous_lease()
        self.renewals += 1
        now_ms = self.clock.now_ms()
        row = LeaseRow(
            self.own,
            self.renewals,
            self.given_up,
            self.processor,
            self.member_rows.revision or 0,
            self.authority.since_outage_report_ms(now_ms),
            self.evidence.row_exists_since(now_ms),
            self.evidence.read_since_revision,
            dict(self.evidence.departed),
        )
        self.last_lease = row
        self.authority.record_renewal_sent(self.renewals, now_ms)
        expected = previous.version if previous is not None else None
        put = Put(entry_key(self.own.name), encode_lease(row), expected)
        result = await self.store.commit(put)
        self.is_renewed = result.is_ok()
        match result:
            case Ok(Committed(revision=revision)):
                self.lease_version = revision
                self.evidence.record_renewal(now_ms, revision, self.clock.now_ms())
                self._adopt_previous_lease(previous)
            case Err(TableConflict()):
                self.request_renewal()

    def _adopt_previous_lease(self, previous: Row | None) -> None:
        """Take over what the lease of the life before proves, if it can be read."""
        if previous is None:
            return
        match decode_lease(previous.value):
            case Ok(lease):
                self.evidence.record_replaced_lease(lease, previous.version)
            case Err(error):
                log_warning("lease_unreadable", key=previous.key, detail=error.detail)

    async def _previous_lease(self) -> Row | None:
        """Return the lease of the life before this one, if it is there."""
        result = await self.store.read(entry_key(self.own.name))
        return result.unwrap_or(None)

    def _decode_if_changed(self, duty: str, row: Row) -> VersionedDuty | None:
        """Return a duty, decoded only if its row has changed and can be read."""
        known = self.known_duties.get(duty)
        if known is not None and known.version == row.version:
            return known
        match decode_duty(row.value):
            case Ok(decoded_row):
                return VersionedDuty(decoded_row, row.version)
            case Err(error):
                log_warning("duty_unreadable", duty=duty, detail=error.detail)
                return known

    async def _commit_duty(
        self, duty: str, row: DutyRow, version: int
    ) -> Result[Committed, TableError]:
        """Write the row of a duty if its version is as expected."""
        put = Put(duty_key(duty), encode_duty(row), version)
        result = await self.store.commit(put)
        if isinstance(result, Ok):
            revision = result.ok_value.revision
            self.member_rows.put_if_newer(Row(put.key, revision, "", put.value))
            self.known_duties[duty] = VersionedDuty(row, revision)
        return result

    def _record_read(self, sent_ms: int) -> None:
        self.last_read_ms = sent_ms
        if not self.is_store_reachable:
            self.is_store_reachable = True
            log_event("store_regained", entry=self.own.name)

    def _record_failed_read(self, detail: str) -> None:
        self.lease_watch.interrupted(self.clock.now_ms())
        if self.is_store_reachable:
            self.is_store_reachable = False
            log_warning("store_lost", entry=self.own.name, detail=detail)

    def _update_held_duties(self) -> None:
        """Find duties that the rows give to this entry, or to another."""
        for duty, known in self.known_duties.items():
            is_own = (known.row.holder, known.row.incarnation) == (
                self.own.name,
                self.own.incarnation,
            )
            if is_own and duty not in self.held_duties:
                if known.row.generation > self.given_up.get(duty, 0):
                    self._record_taken(duty, known)
            elif not is_own and duty in self.held_duties:
                self.give_up(duty)
                log_warning(
                    "duty_lost",
                    duty=duty,
                    holder=known.row.holder,
                    generation=known.row.generation,
                )
                self.on_event(DutyLost(duty))
                # The successor waits to read that this entry acts no more.
                self.request_renewal()

    def give_up(self, duty: str) -> None:
        """Note that this entry acts no more on a duty that another one has taken."""
        generation = self.held_duties.pop(duty, None)
        if generation is not None:
            self.given_up[duty] = generation
            self.predecessors.pop(duty, None)
            self.holders_to_query.pop(duty, None)
            self.inactive_since_ms.pop(duty, None)

    def receive_predecessor_answer(self, given_up: PoolGivenUp) -> None:
        """Take in what the holder before a pool was taken has told."""
        queried = self.holders_to_query.get(given_up.pool)
        if queried is not None and queried.generation == given_up.generation:
            del self.holders_to_query[given_up.pool]
            self.predecessors[given_up.pool] = ()
            self.on_event(PredecessorAnswered(given_up.pool, given_up.runs))

    def _query_predecessors(self) -> None:
        """Ask holders before this entry until they answer or are outwaited."""
        for duty, holder in self.holders_to_query.items():
            if duty in self.held_duties and not self.known_duties[duty].row.is_settled:
                self.on_event(
                    PredecessorQueryDue(duty, holder.entry, self.held_duties[duty])
                )

    def _record_replaced_holders(self, now_ms: int) -> None:
        """Note the holders that may still act though others have followed them."""
        self.replacement_seen_ms = {
            (duty, holder): self.replacement_seen_ms.get((duty, holder), now_ms)
            for duty, known in self.known_duties.items()
            for holder in known.row.earlier or ()
        }

    def _possibly_active_holders(
        self, duty: str, row: DutyRow, now_ms: int
    ) -> tuple[Holder, ...] | None:
        """Return the holders up to that of a row that may still act, if known."""
        names = {row.holder, *(holder.entry for holder in row.earlier or ())}
        leases = {
            lease.peer.name: decode_lease(lease.row.value).unwrap()
            for lease in self.lease_watch.seen.values()
            if lease.peer.name in names
        }
        holders = possibly_active_holders(duty, row, leases)
        if holders is None:
            return None
        # A replaced holder may have read its row late, and this entry's view of the
        # store must not be behind the last that it acted on.
        oldest_replacement_ms = now_ms - MAX_READ_AGE_MS - 2 * HISTORY_LAG_MS
        return tuple(
            holder
            for holder in holders
            if self.replacement_seen_ms.get((duty, holder), now_ms)
            > oldest_replacement_ms
            and self._last_possible_act_ms(duty, holder) is None
        )

    def _last_possible_act_ms(self, duty: str, holder: Holder) -> int | None:
        """Return until when a holder that was replaced may have acted, if known."""
        known = self.known_duties[duty]
        is_replaced = known.row.generation > holder.generation
        if not is_replaced or known.version > self.member_rows.revision:
            return None
        return self.evidence.last_possible_act_ms(
            entry_key(holder.entry), self.lease_watch.seen
        )

    def _check_predecessors(self, now_ms: int) -> None:
        """Tell of duties whose holders before this entry all act no more."""
        for duty in self.held_duties:
            predecessors = self.predecessors.get(duty)
            if not predecessors:
                continue
            row = replace(self.known_duties[duty].row, holder="", is_settled=False)
            active = self._possibly_active_holders(duty, row, now_ms)
            self.predecessors[duty] = active
            for holder in set(predecessors) - set(active or ()):
                inactive_ms = self._last_possible_act_ms(duty, holder) or now_ms
                self.inactive_since_ms[duty] = max(
                    inactive_ms, self.inactive_since_ms.get(duty, 0)
                )
            if active == ():
                self._report_inactive_predecessors(duty, now_ms)

    def _report_inactive_predecessors(self, duty: str, now_ms: int) -> None:
        self.holders_to_query.pop(duty, None)
        inactive_since_ms = self.inactive_since_ms.pop(duty, now_ms)
        log_event("holders_gone", duty=duty, after_ms=now_ms - inactive_since_ms)
        self.on_event(
            PredecessorsInactive(duty, self.member_rows.revision, inactive_since_ms)
        )

    def _balance(self, now_ms: int) -> None:
        """Have a duty handed over that burdens this entry more than another.

        The machines stay with their owner: two owners that give orders for one
        machine must be apart in time. A pool stays until holders before are outwaited,
        and while no better entry has been seen to reach the store.
        """
        if now_ms - self.last_hand_over_ms < HAND_OVER_PAUSE_MS:
            return
        pools = [
            duty
            for duty in self.held_duties
            if duty != FLEET_DUTY and self.known_duties[duty].row.is_settled
        ]
        entries = self._candidate_entries(
            now_ms, self.reachable_entries() & self.lease_watch.confirmed()
        )
        duty = duty_to_hand_over(self.own.name, pools, self.known_duties, entries)
        if duty is not None:
            self.last_hand_over_ms = now_ms
            log_event("duty_handed_over", duty=duty, generation=self.held_duties[duty])
            self.on_event(HandOverDue(duty))

    def _new_entries(self, now_ms: int) -> frozenset[str]:
        """Return the entries of which nothing may have been heard yet."""
        return frozenset(
            peer.name
            for peer, since_ms in self.first_seen_ms.items()
            if now_ms - since_ms < FIRST_CONTACT_MS
        )

    def _candidate_entries(
        self, now_ms: int, reachable_names: frozenset[str]
    ) -> CandidateEntries:
        lapsed = {lease.peer.name for lease in self.lease_watch.lapsed(now_ms)}
        lapsed |= {
            lease.peer.name for lease in self.lease_watch.seen.values() if lease.is_over
        }
        incarnations = {
            lease.peer.name: lease.peer.incarnation
            for lease in self.lease_watch.seen.values()
            if lease.peer.name not in lapsed
        }
        incarnations[self.own.name] = self.own.incarnation
        processors = {
            lease.peer.name: lease.processor for lease in self.lease_watch.seen.values()
        }
        processors[self.own.name] = self.processor
        reachable = frozenset(incarnations) & (reachable_names | {self.own.name})
        return CandidateEntries(incarnations, reachable, processors)

    async def _take_free_duties(self, now_ms: int) -> None:
        """Take the free duties that fall to this entry.

        Each result counts for the next choice: others take theirs meanwhile. A write
        without an answer ends it for a moment, since the lease is due; that duty comes
        after the others the next time.
        """
        if now_ms < self.take_after_ms:
            return
        entries = self._candidate_entries(
            now_ms, self.reachable_entries() | self._new_entries(now_ms)
        )
        tried_duties: set[str] = set()
        while True:
            duties = self.required_duties() - tried_duties
            own_duties = duties_to_take(
                self.own.name, duties, self.known_duties, entries
            )
            if not own_duties:
                return
            preferred = (
                duty for duty in own_duties if duty not in self.unanswered_duties
            )
            duty = next(preferred, own_duties[0])
            tried_duties.add(duty)
            if not await self._take_duty(duty):
                self.unanswered_duties.add(duty)
                self.take_after_ms = self.clock.now_ms() + TAKE_PAUSE_MS
                return
            self.unanswered_duties.discard(duty)

    async def _write_pool_sizes(self) -> None:
        """Have the row of the fleet's upkeep tell all entries how large pools are."""
        known = self.known_duties.get(FLEET_DUTY)
        if FLEET_DUTY not in self.held_duties or known is None or not self.pool_sizes:
            return
        if known.row.sizes != self.pool_sizes:
            row = replace(known.row, sizes=self.pool_sizes)
            await self._commit_duty(FLEET_DUTY, row, known.version)

    async def _take_duty(self, duty: str) -> bool:
        """Take a duty unless another entry has; return whether the store answered."""
        known = self.known_duties.get(duty)
        previous = known.row if known is not None else DutyRow("", 0, 0)
        version = known.version if known is not None else ABSENT
        now_ms = self.clock.now_ms()
        active_holders = self._possibly_active_holders(duty, previous, now_ms)
        self.predecessors[duty] = active_holders
        self.holders_to_query.pop(duty, None)
        self.inactive_since_ms.pop(duty, None)
        if active_holders != possibly_active_holders(duty, previous, {}):
            # Some have only just said that they act no more.
            self.inactive_since_ms[duty] = now_ms
        # A holder that has outwaited all others knows of all that may go on.
        if previous.is_settled and previous.released_by is not None:
            self.holders_to_query[duty] = previous.released_by
        elif active_holders and previous.is_settled:
            self.holders_to_query[duty] = active_holders[-1]
        row = DutyRow(
            self.own.name,
            self.own.incarnation,
            previous.generation + 1,
            previous.targets,
            earlier=active_holders,
            sizes=previous.sizes,
        )
        match await self._commit_duty(duty, row, version):
            case Ok(_):
                self._record_taken(duty, self.known_duties[duty])
                return True
            case Err(TableConflict(rows=rows)):
                self._apply_duty_rows(rows)
                holder = self.holder(duty)
                log_event("duty_not_taken", duty=duty, detail=f"held by {holder}")
                return True
            case Err(error):
                log_event("duty_not_taken", duty=duty, detail=str(error))
                return not error.is_in_doubt

    def _apply_duty_rows(self, rows: tuple[Row, ...]) -> None:
        """Take in the rows of duties that others have written."""
        for row in rows:
            duty = duty_from_key(row.key)
            if duty is None:
                continue
            self.member_rows.put_if_newer(row)
            known = self._decode_if_changed(duty, row)
            if known is not None:
                self.known_duties[duty] = known

    def _record_taken(self, duty: str, known: VersionedDuty) -> None:
        row = known.row
        self.held_duties[duty] = row.generation
        has_no_active_predecessor = self.predecessors.get(duty) == ()
        log_event(
            "duty_taken",
            duty=duty,
            generation=row.generation,
            targets=len(row.targets),
            is_surely_gone=has_no_active_predecessor,
        )
        self.on_event(
            DutyTaken(
                duty,
                row.generation,
                known.version,
                row.targets,
                has_no_active_predecessor,
            )
        )

    async def _record_targets(self, command: RecordTargets) -> RowWrite:
        duty = command.duty
        known = self.known_duties.get(duty)
        if known is None or self.held_duties.get(duty) != known.row.generation:
            return RowWrite.NOT_WRITTEN
        row = replace(
            known.row,
            targets=command.targets,
            is_settled=command.is_settled,
            earlier=() if command.is_settled else self.predecessors.get(duty),
        )
        return self._write_outcome(await self._commit_duty(duty, row, known.version))

    def _write_outcome(self, result: Result[Committed, TableError]) -> RowWrite:
        """Return what became of a write, and look at a row that others have written."""
        match result:
            case Ok(_):
                return RowWrite.WRITTEN
            case Err(TableConflict()):
                self.request_reconcile()
                return RowWrite.NOT_WRITTEN
            case Err(error):
                return RowWrite.IN_DOUBT if error.is_in_doubt else RowWrite.NOT_WRITTEN

    async def _probe_duty(self, probe: ProbeDuty) -> None:
        """Write the row of a duty as it stands."""
        known = self.known_duties.get(probe.duty)
        if known is None or probe.duty not in self.held_duties:
            answer(probe.reply, RowWrite.NOT_WRITTEN)
            return
        put = Put(duty_key(probe.duty), encode_duty(known.row), known.version)
        result = await self.store.commit(put)
        if isinstance(result, Ok):
            self._record_probed(probe.duty, known, result.ok_value.revision, put.value)
        answer(probe.reply, self._write_outcome(result))

    def _record_probed(
        self, duty: str, probed: VersionedDuty, revision: int, value: str
    ) -> None:
        """Take in the new version of a row, unless a later one is known by now."""
        self.member_rows.put_if_newer(Row(duty_key(duty), revision, "", value))
        known = self.known_duties.get(duty)
        if known is None or known.version < revision:
            self.known_duties[duty] = VersionedDuty(probed.row, revision)

    async def _release_duty(self, duty: str) -> bool:
        """Give a duty back; return whether the row no longer names this entry."""
        known = self.known_duties.get(duty)
        if known is None or duty not in self.held_duties:
            return True
        own_holder = Holder(self.own.name, self.own.incarnation, known.row.generation)
        row = replace(known.row, holder="", incarnation=0, released_by=own_holder)
        match await self._commit_duty(duty, row, known.version):
            case Ok(_):
                log_event("duty_released", duty=duty, is_written=True)
                self.held_duties.pop(duty, None)
                return True
            case Err(TableConflict(rows=rows)):
                self._apply_duty_rows(rows)
                if self.holder(duty) == self.own.name:
                    return False
                self.give_up(duty)
                return True
            case Err(_):
                log_event("duty_released", duty=duty, is_written=False)
                return False

    async def _release_all_duties(self) -> None:
        """Give all duties back, so that others need not wait for a lapse.

        Nobody is left to ask what goes on, so each row is written until the store
        has taken it.
        """
        self.is_releasing = True
        for duty in list(self.held_duties):
            while not await self._release_duty(duty):
                await asyncio.sleep(RELEASE_RETRY_S)
        await self._end_lease()

    async def _end_lease(self) -> None:
        """Tell the others that this life is over.

        The row stands until the next life replaces it, which so can tell how long it
        has stood. It lapses if a renewal without an answer has been carried out.
        """
        if self.last_lease is not None:
            text = encode_lease(replace(self.last_lease, is_over=True))
            put = Put(entry_key(self.own.name), text, self.lease_version)
            await self.store.commit(put)

    async def _delete_stale_lease(self, now_ms: int) -> None:
        """Delete the row of an entry that is gone, one a look and by one entry."""
        live_entries = self._candidate_entries(
            now_ms, self.reachable_entries()
        ).incarnations
        for lease in self.lease_watch.seen.values():
            is_stale = now_ms - lease.unchanged_since_ms > LEASE_RETENTION_MS
            if (
                is_stale
                and rendezvous_owner(lease.row.key, live_entries) == self.own.name
            ):
                await self.store.commit(Delete(lease.row.key, lease.row.version))
                return
