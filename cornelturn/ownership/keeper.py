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
    DutyRow,
    Entries,
    Holder,
    SeenDuty,
    decode_duty,
    duties_to_take,
    duty_key,
    duty_of,
    duty_to_hand_over,
    encode_duty,
    entry_key,
    is_entry_key,
    may_still_act,
)
from cornelturn.ownership.member_rows import MemberRows
from cornelturn.ownership.messages import (
    DutiesReleased,
    DutyEvent,
    DutyLost,
    DutyProbed,
    DutyReleased,
    DutyTaken,
    HandOverDue,
    HolderAsked,
    HolderGone,
    HolderStopped,
    KeeperMessage,
    LookDue,
    PoolsSized,
    RowWrite,
    SupportWanted,
    TargetsRecorded,
)
from cornelturn.ownership.standing import Standing
from cornelturn.ownership.witnesses import Witnesses
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

LOOK_INTERVAL_S = 1.0
"""Time between two renewals; an entry is missed after two and a half of them."""

ENTRY_LEASE_MS = 2_500
"""Time without a renewal after which an entry's duties are taken over."""

LOOK_GAP_MS = 2_000
"""Time between two looks after which nothing is concluded from the first."""

SETTLE_MS = 700
"""Time after the start in which an entry takes no duty, so that all are seen that
start with it: processes start within half a second of each other."""

HEARING_MS = 2_500
"""Time in which an entry may be reachable though nothing has been heard of it yet:
two heartbeats and a margin."""

HAND_OVER_PAUSE_MS = 2_000
"""Pause after a hand-over, in which the new holder shows up in the rows."""

UNCONFIRMED_MS = 12_000
"""Time for which a holder goes on without having read its row, if others have no store
either: longer than the outages of the store in which nobody can take over."""

SUPPORT_INTERVAL_S = 0.25
"""Time between two looks at whether this entry may still act."""

LOOK_DELAY_S = 0.05
"""Delay of a look after entries came or went, so that one look serves several."""

TAKE_PAUSE_MS = 2_000
"""Pause in taking duties after a write without an answer, in which leases and rows
are not held up by the next one."""

RELEASE_RETRY_S = 0.3
"""Pause after a duty could not be released, since the store did not answer."""

FORGET_ENTRY_MS = 20_000
"""Time after which the row of an entry that is gone is deleted."""


@dataclass(slots=True)
class DutyKeeper:
    """Keeps the rows of this entry.

    Parameters
    ----------
    wanted : callable
        Returns the duties that somebody should hold.
    heard : callable
        Returns the entries that this one hears now.
    named : callable
        Called with the addresses of all entries.
    changed : callable
        Called with each duty taken, lost or to be handed over.
    processor : float
        Cores that this entry may use.
    first_seen : dict
        When each entry was first seen in the rows.
    given_up : dict
        Generations of the duties that were lost.
    preceding : dict
        Holders before this entry that may still act, by duty.
    telling : dict
        The last of these, if it can tell all that may go on, by duty.
    replaced_ms : dict
        Since when this entry knows that a holder of a duty was replaced.
    acted_ms : dict
        Until when holders before may have acted that are gone now, by duty.
    standing : Standing
        How long this entry may act.
    witnesses : Witnesses
        What the leases prove about holders before this entry.
    take_after_ms : int
        When duties may be taken again after a write without an answer.
    unanswered : set of str
        Duties whose last taking had no answer.
    lease : LeaseRow or None
        Lease as it was written last.
    lease_version : int
        Version of the last renewal that was acknowledged.
    sizes : dict
        Machines of each pool before any move, as told by the owner of the machines.
    probes : set of Task
        Writes of rows as they stand; renewals do not wait for them.
    """

    own: PeerAddress
    store: RowStore
    clock: Clock
    wanted: Callable[[], frozenset[str]]
    heard: Callable[[], frozenset[str]]
    named: Callable[[tuple[PeerAddress, ...]], None]
    changed: Callable[[DutyEvent], None]
    processor: float = 1.0
    mailbox: Mailbox[KeeperMessage] = field(default_factory=Mailbox)
    watch: LeaseWatch = field(
        default_factory=lambda: LeaseWatch(lease_ms=ENTRY_LEASE_MS, gap_ms=LOOK_GAP_MS)
    )
    members: MemberRows = field(init=False)
    seen: dict[str, SeenDuty] = field(default_factory=dict)
    held: dict[str, int] = field(default_factory=dict)
    given_up: dict[str, int] = field(default_factory=dict)
    preceding: dict[str, tuple[Holder, ...] | None] = field(default_factory=dict)
    telling: dict[str, Holder] = field(default_factory=dict)
    replaced_ms: dict[tuple[str, Holder], int] = field(default_factory=dict)
    acted_ms: dict[str, int] = field(default_factory=dict)
    standing: Standing = field(default_factory=Standing)
    witnesses: Witnesses = field(default_factory=lambda: Witnesses(FORGET_ENTRY_MS))
    first_seen: dict[PeerAddress, int] = field(default_factory=dict)
    sizes: dict[str, int] = field(default_factory=dict)
    probes: set[asyncio.Task[None]] = field(default_factory=set)
    started_ms: int = 0
    handed_over_ms: int = 0
    take_after_ms: int = 0
    unanswered: set[str] = field(default_factory=set)
    lease: LeaseRow | None = None
    lease_version: int = ABSENT
    confirmed_ms: int = 0
    renewals: int = 0
    is_renewed: bool = False
    is_renewal_wanted: bool = False
    is_look_wanted: bool = False
    is_look_planned: bool = False
    is_reachable: bool = False
    is_releasing: bool = False
    is_acting: bool = True

    def __post_init__(self) -> None:
        self.members = MemberRows(
            self.store, self.clock, self.witnesses.gone, self.witnesses.read_all
        )

    async def run(self) -> None:
        """Serve messages for ever."""
        self.started_ms = self.clock.now_ms()
        self.standing.start(self.started_ms)
        async for message in self.mailbox.messages():
            match message:
                case LookDue(is_renewal):
                    await self._look(is_renewal)
                case TargetsRecorded(reply=reply):
                    answer(reply, await self._record(message))
                case PoolsSized(machines):
                    self.sizes = machines
                    await self._write_sizes()
                case DutyProbed():
                    start_background(self.probes, self._probe(message))
                case DutyReleased(duty, reply):
                    answer(reply, await self._release_one(duty))
                case DutiesReleased(reply):
                    await self._release()
                    answer(reply, None)

    async def renew_for_ever(self) -> None:
        """Have the lease renewed at a fixed interval; no renewals queue up."""
        while True:
            await asyncio.sleep(LOOK_INTERVAL_S)
            self.want_renewal()

    def want_renewal(self) -> None:
        """Have the lease renewed and the rows read at once."""
        if not self.is_renewal_wanted:
            self.is_renewal_wanted = True
            self.mailbox.post(LookDue())

    def want_look(self) -> None:
        """Have the rows read at once, since a duty has changed."""
        if not self.is_look_wanted:
            self.is_look_wanted = True
            self.mailbox.post(LookDue(is_renewal=False))

    def want_look_soon(self) -> None:
        """Have the rows read, since entries came or went: often many in a moment."""
        if not self.is_look_planned:
            self.is_look_planned = True
            loop = asyncio.get_running_loop()
            loop.call_later(LOOK_DELAY_S, self._planned_look)

    def _planned_look(self) -> None:
        self.is_look_planned = False
        self.want_look()

    async def keep_standing(self) -> None:
        """Ask the others for ever while this entry cannot read its rows.

        It waits for no call to the store, unlike the looks.
        """
        while True:
            await asyncio.sleep(SUPPORT_INTERVAL_S)
            now_ms = self.clock.now_ms()
            if self.held and self.standing.wants_support(now_ms):
                self.changed(SupportWanted(now_ms))
            self._note_acting()

    def outage_asked(self) -> bool:
        """Return whether this entry has no store, to be told to one that asks."""
        return not self.is_releasing and self.standing.tell(self.clock.now_ms())

    def outage_shared(self, peer: str, shared: OutageShared) -> None:
        """Take in that another entry had no store when it was asked."""
        if shared.incarnation == self.own.incarnation:
            self.standing.supported(peer, shared.asked_ms, self.clock.now_ms())

    def _note_acting(self) -> None:
        may_act = not self.held or self.may_act()
        if may_act == self.is_acting:
            return
        self.is_acting = may_act
        if may_act:
            log_event("orders_resumed", entry=self.own.name, duties=len(self.held))
        else:
            log_warning("orders_paused", entry=self.own.name, duties=len(self.held))

    def may_act(self) -> bool:
        """Return whether this entry may still use the duties that it has."""
        now_ms = self.clock.now_ms()
        is_read = now_ms - self.confirmed_ms < UNCONFIRMED_MS
        return is_read and self.standing.may_act(now_ms)

    def holder(self, duty: str) -> str:
        """Return the entry that holds a duty, as last read."""
        found = self.seen.get(duty)
        return found.row.holder if found is not None else ""

    def generation(self, duty: str) -> int:
        """Return the generation of a duty, as last read; 0 if there is none."""
        found = self.seen.get(duty)
        return found.row.generation if found is not None else 0

    async def _look(self, is_renewal: bool) -> None:
        if self.is_releasing:
            return
        self.is_look_wanted = False
        if is_renewal:
            self.is_renewal_wanted = False
            await self._renew()
        match await self.members.read():
            case Ok(sent_ms):
                self._reached(sent_ms)
            case Err(detail):
                self._not_reached(detail)
                return
        now_ms = self.clock.now_ms()
        rows = self.members.rows.values()
        entries = tuple(one for one in rows if is_entry_key(one.key))
        self.watch.observe(entries, now_ms)
        self._observe_standing()
        leases = self.watch.seen.values()
        peers = [one.peer for one in leases]
        self.first_seen = {one: self.first_seen.get(one, now_ms) for one in peers}
        self.named(tuple(one.peer for one in leases if not one.is_over))
        found = ((duty_of(one.key), one) for one in rows)
        self.seen = {
            duty: seen
            for duty, one in found
            if duty is not None and (seen := self._seen_duty(duty, one)) is not None
        }
        self._note_replaced(now_ms)
        self._compare()
        self._notice_gone(now_ms)
        if self.is_renewed and now_ms - self.started_ms >= SETTLE_MS:
            await self._take(now_ms)
            self._balance(now_ms)
        await self._write_sizes()
        self._ask_holders()
        await self._forget_entries(now_ms)

    def _observe_standing(self) -> None:
        """Take in which renewals were read, of this entry and of the others."""
        self.witnesses.observe(self.watch.seen)
        names = frozenset(one.peer.name for one in self.watch.seen.values())
        self.standing.others = names - {self.own.name}
        own = self.watch.seen.get(entry_key(self.own.name))
        # A row beyond the revision was read before others that may be older.
        is_own = own is not None and own.peer.incarnation == self.own.incarnation
        if is_own and own.row.version <= self.members.revision:
            self.standing.read_back(own.renewals)

    async def _renew(self) -> None:
        """Renew the lease; the first renewal replaces that of the life before."""
        before = None if self.renewals else await self._lease_before()
        self.renewals += 1
        now_ms = self.clock.now_ms()
        row = LeaseRow(
            self.own,
            self.renewals,
            self.given_up,
            self.processor,
            self.members.revision or 0,
            self.standing.untold_ms(now_ms),
            self.witnesses.stands_since(now_ms),
            self.witnesses.read_since,
            dict(self.witnesses.left),
        )
        self.lease = row
        self.standing.renewing(self.renewals, now_ms)
        expected = before.version if before is not None else None
        put = Put(entry_key(self.own.name), encode_lease(row), expected)
        renewed = await self.store.commit(put)
        self.is_renewed = renewed.is_ok()
        match renewed:
            case Ok(Committed(revision=revision)):
                self.lease_version = revision
                self.witnesses.renewed(now_ms, revision, self.clock.now_ms())
                self._follow_lease(before)
            case Err(TableConflict()):
                self.want_renewal()

    def _follow_lease(self, before: Row | None) -> None:
        """Take over what the lease of the life before proves, if it can be read."""
        if before is None:
            return
        match decode_lease(before.value):
            case Ok(lease):
                self.witnesses.followed(lease, before.version)
            case Err(error):
                log_warning("lease_unreadable", key=before.key, detail=error.detail)

    async def _lease_before(self) -> Row | None:
        """Return the lease of the life before this one, if it is there."""
        found = await self.store.read(entry_key(self.own.name))
        return found.unwrap_or(None)

    def _seen_duty(self, duty: str, row: Row) -> SeenDuty | None:
        """Return a duty, decoded only if its row has changed and can be read."""
        known = self.seen.get(duty)
        if known is not None and known.version == row.version:
            return known
        match decode_duty(row.value):
            case Ok(found):
                return SeenDuty(found, row.version)
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
            self.members.keep(Row(put.key, revision, "", put.value))
            self.seen[duty] = SeenDuty(row, revision)
        return result

    def _reached(self, sent_ms: int) -> None:
        self.confirmed_ms = sent_ms
        if not self.is_reachable:
            self.is_reachable = True
            log_event("store_regained", entry=self.own.name)

    def _not_reached(self, detail: str) -> None:
        self.watch.interrupted(self.clock.now_ms())
        if self.is_reachable:
            self.is_reachable = False
            log_warning("store_lost", entry=self.own.name, detail=detail)

    def _compare(self) -> None:
        """Find duties that the rows give to this entry, or to another."""
        for duty, found in self.seen.items():
            is_own = (found.row.holder, found.row.incarnation) == (
                self.own.name,
                self.own.incarnation,
            )
            if is_own and duty not in self.held:
                if found.row.generation > self.given_up.get(duty, 0):
                    self._taken(duty, found)
            elif not is_own and duty in self.held:
                self.give_up(duty)
                log_warning(
                    "duty_lost",
                    duty=duty,
                    holder=found.row.holder,
                    generation=found.row.generation,
                )
                self.changed(DutyLost(duty))
                # The successor waits to read that this entry acts no more.
                self.want_renewal()

    def give_up(self, duty: str) -> None:
        """Note that this entry acts no more on a duty that another one has taken."""
        generation = self.held.pop(duty, None)
        if generation is not None:
            self.given_up[duty] = generation
            self.preceding.pop(duty, None)
            self.telling.pop(duty, None)
            self.acted_ms.pop(duty, None)

    def holder_stopped(self, given_up: PoolGivenUp) -> None:
        """Take in what the holder before a pool was taken has told."""
        before = self.telling.get(given_up.pool)
        if before is not None and before.generation == given_up.generation:
            del self.telling[given_up.pool]
            self.preceding[given_up.pool] = ()
            self.changed(HolderStopped(given_up.pool, given_up.runs))

    def _ask_holders(self) -> None:
        """Ask holders before this entry until they answer or are outwaited."""
        for duty, before in self.telling.items():
            if duty in self.held and not self.seen[duty].row.is_settled:
                self.changed(HolderAsked(duty, before.entry, self.held[duty]))

    def _note_replaced(self, now_ms: int) -> None:
        """Note the holders that may still act though others have followed them."""
        self.replaced_ms = {
            (duty, one): self.replaced_ms.get((duty, one), now_ms)
            for duty, found in self.seen.items()
            for one in found.row.earlier or ()
        }

    def _may_still_act(
        self, duty: str, row: DutyRow, now_ms: int
    ) -> tuple[Holder, ...] | None:
        """Return the holders up to that of a row that may still act, if known."""
        names = {row.holder, *(one.entry for one in row.earlier or ())}
        leases = {
            one.peer.name: decode_lease(one.row.value).unwrap()
            for one in self.watch.seen.values()
            if one.peer.name in names
        }
        holders = may_still_act(duty, row, leases)
        if holders is None:
            return None
        # A replaced holder may have read its row late, and this entry's view of the
        # store must not be behind the last that it acted on.
        since_ms = now_ms - UNCONFIRMED_MS - 2 * HISTORY_LAG_MS
        return tuple(
            one
            for one in holders
            if self.replaced_ms.get((duty, one), now_ms) > since_ms
            and self._last_act_ms(duty, one) is None
        )

    def _last_act_ms(self, duty: str, holder: Holder) -> int | None:
        """Return until when a holder that was replaced may have acted, if known."""
        found = self.seen[duty]
        is_replaced = found.row.generation > holder.generation
        if not is_replaced or found.version > self.members.revision:
            return None
        return self.witnesses.last_act_ms(entry_key(holder.entry), self.watch.seen)

    def _notice_gone(self, now_ms: int) -> None:
        """Tell of duties whose holders before this entry all act no more."""
        for duty in self.held:
            before = self.preceding.get(duty)
            if not before:
                continue
            row = replace(self.seen[duty].row, holder="", is_settled=False)
            left = self._may_still_act(duty, row, now_ms)
            self.preceding[duty] = left
            for one in set(before) - set(left or ()):
                acted_ms = self._last_act_ms(duty, one) or now_ms
                self.acted_ms[duty] = max(acted_ms, self.acted_ms.get(duty, 0))
            if left == ():
                self._tell_gone(duty, now_ms)

    def _tell_gone(self, duty: str, now_ms: int) -> None:
        self.telling.pop(duty, None)
        since_ms = self.acted_ms.pop(duty, now_ms)
        log_event("holders_gone", duty=duty, after_ms=now_ms - since_ms)
        self.changed(HolderGone(duty, self.members.revision, since_ms))

    def _balance(self, now_ms: int) -> None:
        """Have a duty handed over that burdens this entry more than another.

        The machines stay with their owner: two owners that give orders for one
        machine must be apart in time. A pool stays until holders before are outwaited,
        and while no better entry has been seen to reach the store.
        """
        if now_ms - self.handed_over_ms < HAND_OVER_PAUSE_MS:
            return
        pools = [
            duty
            for duty in self.held
            if duty != FLEET_DUTY and self.seen[duty].row.is_settled
        ]
        entries = self._entries(now_ms, self.heard() & self.watch.confirmed())
        duty = duty_to_hand_over(self.own.name, pools, self.seen, entries)
        if duty is not None:
            self.handed_over_ms = now_ms
            log_event("duty_handed_over", duty=duty, generation=self.held[duty])
            self.changed(HandOverDue(duty))

    def _new_entries(self, now_ms: int) -> frozenset[str]:
        """Return the entries of which nothing may have been heard yet."""
        return frozenset(
            peer.name
            for peer, since_ms in self.first_seen.items()
            if now_ms - since_ms < HEARING_MS
        )

    def _entries(self, now_ms: int, near: frozenset[str]) -> Entries:
        lapsed = {one.peer.name for one in self.watch.lapsed(now_ms)}
        lapsed |= {one.peer.name for one in self.watch.seen.values() if one.is_over}
        incarnations = {
            one.peer.name: one.peer.incarnation
            for one in self.watch.seen.values()
            if one.peer.name not in lapsed
        }
        incarnations[self.own.name] = self.own.incarnation
        processors = {one.peer.name: one.processor for one in self.watch.seen.values()}
        processors[self.own.name] = self.processor
        reachable = frozenset(incarnations) & (near | {self.own.name})
        return Entries(incarnations, reachable, processors)

    async def _take(self, now_ms: int) -> None:
        """Take the free duties that fall to this entry.

        Each result counts for the next choice: others take theirs meanwhile. A write
        without an answer ends it for a moment, since the lease is due; that duty comes
        after the others the next time.
        """
        if now_ms < self.take_after_ms:
            return
        entries = self._entries(now_ms, self.heard() | self._new_entries(now_ms))
        tried: set[str] = set()
        while True:
            duties = self.wanted() - tried
            due = duties_to_take(self.own.name, duties, self.seen, entries)
            if not due:
                return
            sound = (one for one in due if one not in self.unanswered)
            chosen = next(sound, due[0])
            tried.add(chosen)
            if not await self._take_one(chosen):
                self.unanswered.add(chosen)
                self.take_after_ms = self.clock.now_ms() + TAKE_PAUSE_MS
                return
            self.unanswered.discard(chosen)

    async def _write_sizes(self) -> None:
        """Have the row of the fleet's upkeep tell all entries how large pools are."""
        found = self.seen.get(FLEET_DUTY)
        if FLEET_DUTY not in self.held or found is None or not self.sizes:
            return
        if found.row.sizes != self.sizes:
            row = replace(found.row, sizes=self.sizes)
            await self._commit_duty(FLEET_DUTY, row, found.version)

    async def _take_one(self, duty: str) -> bool:
        """Take a duty unless another entry has; return whether the store answered."""
        found = self.seen.get(duty)
        before = found.row if found is not None else DutyRow("", 0, 0)
        version = found.version if found is not None else ABSENT
        now_ms = self.clock.now_ms()
        earlier = self._may_still_act(duty, before, now_ms)
        self.preceding[duty] = earlier
        self.telling.pop(duty, None)
        self.acted_ms.pop(duty, None)
        if earlier != may_still_act(duty, before, {}):
            # Some have only just said that they act no more.
            self.acted_ms[duty] = now_ms
        # A holder that has outwaited all others knows of all that may go on.
        if before.is_settled and before.released_by is not None:
            self.telling[duty] = before.released_by
        elif earlier and before.is_settled:
            self.telling[duty] = earlier[-1]
        row = DutyRow(
            self.own.name,
            self.own.incarnation,
            before.generation + 1,
            before.targets,
            earlier=earlier,
            sizes=before.sizes,
        )
        match await self._commit_duty(duty, row, version):
            case Ok(_):
                self._taken(duty, self.seen[duty])
                return True
            case Err(TableConflict(rows=rows)):
                self._note_holders(rows)
                holder = self.holder(duty)
                log_event("duty_not_taken", duty=duty, detail=f"held by {holder}")
                return True
            case Err(error):
                log_event("duty_not_taken", duty=duty, detail=str(error))
                return not error.is_in_doubt

    def _note_holders(self, rows: tuple[Row, ...]) -> None:
        """Take in the rows of duties that others have written."""
        for row in rows:
            duty = duty_of(row.key)
            if duty is None:
                continue
            self.members.keep(row)
            seen = self._seen_duty(duty, row)
            if seen is not None:
                self.seen[duty] = seen

    def _taken(self, duty: str, found: SeenDuty) -> None:
        row = found.row
        self.held[duty] = row.generation
        is_gone = self.preceding.get(duty) == ()
        log_event(
            "duty_taken",
            duty=duty,
            generation=row.generation,
            targets=len(row.targets),
            is_surely_gone=is_gone,
        )
        self.changed(
            DutyTaken(duty, row.generation, found.version, row.targets, is_gone)
        )

    async def _record(self, recorded: TargetsRecorded) -> RowWrite:
        duty = recorded.duty
        found = self.seen.get(duty)
        if found is None or self.held.get(duty) != found.row.generation:
            return RowWrite.NOT_WRITTEN
        row = replace(
            found.row,
            targets=recorded.targets,
            is_settled=recorded.is_settled,
            earlier=() if recorded.is_settled else self.preceding.get(duty),
        )
        return self._outcome(await self._commit_duty(duty, row, found.version))

    def _outcome(self, result: Result[Committed, TableError]) -> RowWrite:
        """Return what became of a write, and look at a row that others have written."""
        match result:
            case Ok(_):
                return RowWrite.WRITTEN
            case Err(TableConflict()):
                self.want_look()
                return RowWrite.NOT_WRITTEN
            case Err(error):
                return RowWrite.IN_DOUBT if error.is_in_doubt else RowWrite.NOT_WRITTEN

    async def _probe(self, probed: DutyProbed) -> None:
        """Write the row of a duty as it stands."""
        found = self.seen.get(probed.duty)
        if found is None or probed.duty not in self.held:
            answer(probed.reply, RowWrite.NOT_WRITTEN)
            return
        put = Put(duty_key(probed.duty), encode_duty(found.row), found.version)
        result = await self.store.commit(put)
        if isinstance(result, Ok):
            self._note_probed(probed.duty, found, result.ok_value.revision, put.value)
        answer(probed.reply, self._outcome(result))

    def _note_probed(
        self, duty: str, found: SeenDuty, revision: int, value: str
    ) -> None:
        """Take in the new version of a row, unless a later one is known by now."""
        self.members.keep(Row(duty_key(duty), revision, "", value))
        known = self.seen.get(duty)
        if known is None or known.version < revision:
            self.seen[duty] = SeenDuty(found.row, revision)

    async def _release_one(self, duty: str) -> bool:
        """Give a duty back; return whether the row no longer names this entry."""
        found = self.seen.get(duty)
        if found is None or duty not in self.held:
            return True
        own = Holder(self.own.name, self.own.incarnation, found.row.generation)
        row = replace(found.row, holder="", incarnation=0, released_by=own)
        match await self._commit_duty(duty, row, found.version):
            case Ok(_):
                log_event("duty_released", duty=duty, is_written=True)
                self.held.pop(duty, None)
                return True
            case Err(TableConflict(rows=rows)):
                self._note_holders(rows)
                if self.holder(duty) == self.own.name:
                    return False
                self.give_up(duty)
                return True
            case Err(_):
                log_event("duty_released", duty=duty, is_written=False)
                return False

    async def _release(self) -> None:
        """Give all duties back, so that others need not wait for a lapse.

        Nobody is left to ask what goes on, so each row is written until the store
        has taken it.
        """
        self.is_releasing = True
        for duty in list(self.held):
            while not await self._release_one(duty):
                await asyncio.sleep(RELEASE_RETRY_S)
        await self._end_lease()

    async def _end_lease(self) -> None:
        """Tell the others that this life is over.

        The row stands until the next life replaces it, which so can tell how long it
        has stood. It lapses if a renewal without an answer has been carried out.
        """
        if self.lease is not None:
            text = encode_lease(replace(self.lease, is_over=True))
            put = Put(entry_key(self.own.name), text, self.lease_version)
            await self.store.commit(put)

    async def _forget_entries(self, now_ms: int) -> None:
        """Delete the row of an entry that is gone, one a look and by one entry."""
        living = self._entries(now_ms, self.heard()).incarnations
        for lease in self.watch.seen.values():
            is_gone = now_ms - lease.unchanged_since_ms > FORGET_ENTRY_MS
            if is_gone and rendezvous_owner(lease.row.key, living) == self.own.name:
                await self.store.commit(Delete(lease.row.key, lease.row.version))
                return
