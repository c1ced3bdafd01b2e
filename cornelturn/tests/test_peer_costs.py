"""Cost of heartbeats to an entry, which must stay bounded as the fleet grows."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cornelturn.benchmarks.peers import MEASURED_S, HeartbeatBenchmark, peer_address
from cornelturn.peering.membership import MAX_KNOWN_PER_HEARTBEAT, Membership
from cornelturn.peering.messages import Heartbeat, PeerAddress

MAX_CONTROL_BYTES_PER_SECOND = 9_000
"""Limit that letter 1 of the users sets for the control traffic of an entry."""

MAX_FRAMES_PER_SECOND = 20
"""Limit for the frames that an idle entry sends and receives."""

HEARTBEAT = Heartbeat(peer_address(1), 1, 0, 1, 1, (), (), True, 0)


def make_membership(own: PeerAddress, peers: list[PeerAddress]) -> Membership:
    """Return the membership of an entry to which some peers are alive."""
    membership = Membership(own)
    for address in peers:
        membership.handle_heartbeat(replace(HEARTBEAT, peer=address), 0)
    return membership


def deliver_heartbeat(sender: Membership, receiver: Membership) -> Heartbeat:
    """Deliver a heartbeat, and one of each entry that it names, and return it."""
    heartbeat = sender.make_heartbeat(receiver.own.name, 1, (), True, 0, 0)
    receiver.handle_heartbeat(heartbeat, 0)
    for address in heartbeat.known:
        receiver.handle_heartbeat(replace(HEARTBEAT, peer=address), 0)
    return heartbeat


def test_heartbeats_carry_no_addresses_when_digests_agree():
    addresses = [peer_address(number) for number in range(40)]
    first = make_membership(addresses[0], addresses[1:])
    second = make_membership(addresses[1], [addresses[0], *addresses[2:]])
    deliver_heartbeat(first, second)
    assert deliver_heartbeat(second, first).known == ()
    assert deliver_heartbeat(first, second).known == ()


def test_new_entry_learns_all_addresses_from_a_few_heartbeats():
    addresses = [peer_address(number) for number in range(40)]
    first = make_membership(addresses[0], addresses[1:])
    newcomer = make_membership(peer_address(99), [addresses[0]])
    first.handle_heartbeat(replace(HEARTBEAT, peer=newcomer.own), 0)
    heartbeat_count = 0
    while newcomer.live_peers() != {address.name for address in addresses}:
        assert len(deliver_heartbeat(first, newcomer).known) <= MAX_KNOWN_PER_HEARTBEAT
        heartbeat_count += 1
    assert heartbeat_count <= len(addresses) / MAX_KNOWN_PER_HEARTBEAT + 1
    deliver_heartbeat(newcomer, first)
    assert deliver_heartbeat(first, newcomer).known == ()


def test_digest_follows_every_change_of_the_live_peers():
    addresses = [peer_address(number) for number in range(6)]
    first = make_membership(addresses[0], addresses[1:])
    restarted = replace(addresses[1], incarnation=addresses[1].incarnation + 1)
    first.handle_goodbye(addresses[2])
    first.handle_disconnect(addresses[3].name, 0)
    first.handle_heartbeat(replace(HEARTBEAT, peer=restarted), 0)
    expected = make_membership(addresses[0], [restarted, *addresses[4:]])
    assert first.digest == expected.digest
    first.check_timeouts(10_000)
    assert first.digest == make_membership(addresses[0], []).digest


@pytest.mark.parametrize("entries", [9, 43, 97, 280])
def test_control_traffic_of_an_idle_entry_stays_within_its_limit(entries: int):
    cost = HeartbeatBenchmark(entries).run()
    assert cost.sent_bytes <= MAX_CONTROL_BYTES_PER_SECOND * MEASURED_S
    assert cost.frames <= MAX_FRAMES_PER_SECOND * MEASURED_S
