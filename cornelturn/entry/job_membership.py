"""Membership of entries that schedule jobs: its heartbeats and timeout."""

from __future__ import annotations

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.peering.membership import Membership
from cornelturn.peering.messages import PeerAddress

JOB_HEARTBEAT_INTERVAL_S = 1.0
"""Shortest interval between heartbeats to a peer."""

IDLE_HEARTBEATS = 8
"""Heartbeats per `JOB_HEARTBEAT_INTERVAL_S` to all idle peers together: those with
which this entry exchanges no other messages. Keeps control traffic within 9 KB/s."""

JOB_PEER_TIMEOUT_MS = 2_500
"""Time without heartbeats after which a peer gets no duties: two lost heartbeats and a
margin."""


def job_membership(own: PeerAddress) -> Membership:
    """Return the membership of an entry that schedules jobs."""
    return Membership(
        own,
        timeout_ms=JOB_PEER_TIMEOUT_MS,
        interval_ms=round(JOB_HEARTBEAT_INTERVAL_S * MILLISECONDS_PER_SECOND),
        idle_heartbeats=IDLE_HEARTBEATS,
    )
