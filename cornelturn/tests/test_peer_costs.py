"""What heartbeats cost an entry, whatever the number of entries is."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cornelturn.benchmarks.peers import MEASURED_S, BeatTrial, peer
from cornelturn.peering.membership import KNOWN_A_BEAT, Membership
from cornelturn.peering.messages import Heartbeat, PeerAddress

CONTROL_BYTES_A_SECOND = 9_000
"""Limit of letter 1 for the control traffic of an entry."""

FRAMES_A_SECOND = 20
"""Bound for the frames that such an entry sends and receives."""

BEAT = Heartbeat(peer(1), 1, 0, 1, 1, (), (), True, 0)


def members(own: PeerAddress, peers: list[PeerAddress]) -> Membership:
    """Return the membership of an entry that hears some peers."""
    found = Membership(own)
    for one in peers:
        found.heard(replace(BEAT, peer=one), 0)
    return found


def beat_from(sender: Membership, receiver: Membership) -> Heartbeat:
    """Take in the heartbeat that one entry sends another, and return it."""
    beat = sender.beat_for(receiver.own.name, 1, (), True, 0, 0)
    receiver.heard(beat, 0)
    for one in beat.known:
        receiver.heard(replace(BEAT, peer=one), 0)
    return beat


def test_heartbeats_name_nobody_among_entries_that_know_the_same():
    everyone = [peer(number) for number in range(40)]
    one = members(everyone[0], everyone[1:])
    two = members(everyone[1], [everyone[0], *everyone[2:]])
    beat_from(one, two)
    assert beat_from(two, one).known == ()
    assert beat_from(one, two).known == ()


def test_a_few_heartbeats_tell_the_whole_list():
    everyone = [peer(number) for number in range(40)]
    one = members(everyone[0], everyone[1:])
    new = members(peer(99), [everyone[0]])
    one.heard(replace(BEAT, peer=new.own), 0)
    beats = 0
    while new.live_peers() != {address.name for address in everyone}:
        assert len(beat_from(one, new).known) <= KNOWN_A_BEAT
        beats += 1
    assert beats <= len(everyone) / KNOWN_A_BEAT + 1
    beat_from(new, one)
    assert beat_from(one, new).known == ()


def test_digest_follows_every_change_of_the_peers_alive():
    everyone = [peer(number) for number in range(6)]
    one = members(everyone[0], everyone[1:])
    later = replace(everyone[1], incarnation=everyone[1].incarnation + 1)
    one.goodbye(everyone[2])
    one.link_dropped(everyone[3].name, 0)
    one.heard(replace(BEAT, peer=later), 0)
    same = members(everyone[0], [later, *everyone[4:]])
    assert one.digest == same.digest
    one.check(10_000)
    assert one.digest == members(everyone[0], []).digest


@pytest.mark.parametrize("entries", [9, 43, 97, 280])
def test_entry_that_owns_nothing_stays_within_its_limit(entries: int):
    cost = BeatTrial(entries).run()
    assert cost.sent <= CONTROL_BYTES_A_SECOND * MEASURED_S
    assert cost.frames <= FRAMES_A_SECOND * MEASURED_S
