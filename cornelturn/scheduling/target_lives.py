"""Lives of targets: their list, their ends, and the runs that later lives take over."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from cornelturn.events.log import log_event
from cornelturn.scheduling.state import PoolState, run_name
from cornelturn.scheduling.target_view import RunView, TargetView
from cornelturn.targets.model import ListedTarget, TargetLife


def update_lives(
    state: PoolState, listed: Collection[ListedTarget], now_ms: int
) -> None:
    """Update the targets of a pool from the list, and end the replaced lives."""
    by_life = {
        target.life: target for target in listed if target.life not in state.successors
    }
    for life, target in by_life.items():
        view = state.targets.get(life)
        if view is None:
            state.targets[life] = TargetView(target)
            continue
        if target.is_draining and not view.listed.is_draining:
            log_event("target_draining", pool=state.pool, target=life.name)
        view.listed = target
        view.is_listed = True
    listed_lives = {target.life for target in listed}
    state.successors = {
        ended: successor
        for ended, successor in state.successors.items()
        if ended in listed_lives or successor in state.targets
    }
    newest = {life.name: life for life in sorted(by_life)}
    for life, view in list(state.targets.items()):
        view.is_listed = life in by_life
        later = newest.get(life.name)
        if later is not None and later.born_ms > life.born_ms:
            end_life(state, life, "restarted", now_ms, successor=later)
            continue
        state.update_free_capacity(view)


def end_life(
    state: PoolState,
    life: TargetLife,
    reason: str,
    now_ms: int,
    successor: TargetLife | None = None,
) -> None:
    """Remove an ended life of a target and release its runs.

    A restarted target keeps its name and address, so its later life may have
    executed orders that were sent to the ended one. Runs that the ended life has
    not listed are therefore kept until the later life reports.

    Parameters
    ----------
    successor : TargetLife or None
        Later life of the same target, if it has restarted.
    """
    view = state.targets.pop(life, None)
    if view is None:
        return
    later_view = None
    if successor is not None:
        state.successors[life] = successor
        later_view = _add_successor(state, view, now_ms)
    state.ended_lives.append(life)
    state.speeds.forget(life)
    view.is_listed = False
    state.update_free_capacity(view)
    log_event(
        "target_gone",
        pool=state.pool,
        target=life.name,
        reason=reason,
        runs=len(view.runs),
        successor_born=successor.born_ms if successor is not None else 0,
    )
    _end_runs(state, view, later_view, now_ms)


def _end_runs(
    state: PoolState, ended: TargetView, later_view: TargetView | None, now_ms: int
) -> None:
    """Release the runs of an ended life, or move those that it has not listed."""
    for run, run_view in list(ended.runs.items()):
        if later_view is not None and not run_view.is_reported:
            _move_run(state, ended, run_view, later_view)
        else:
            state.release_run(ended, run, now_ms)


def _add_successor(state: PoolState, ended: TargetView, now_ms: int) -> TargetView:
    """Return the view of the later life of a target, which may not be listed yet.

    An order for the ended life gave it a lease by the clock of that life, which may
    have been ahead by any time.
    """
    life = state.successors[ended.life]
    view = state.targets.get(life)
    if view is None:
        listed = replace(ended.listed, life=life)
        view = state.targets[life] = TargetView(listed, is_listed=False)
    state.set_inherited_lease(view, now_ms)
    return view


def _move_run(
    state: PoolState, ended: TargetView, run_view: RunView, successor: TargetView
) -> None:
    """Move a run to the later life of its target, which may have started it.

    A run whose last order has not been answered is stopped there, which also bars
    its start from being executed late.
    """
    run = run_view.run
    state.remove_run(ended, run)
    state.place_run(successor, run_view)
    job = state.jobs.get(run.task.job)
    if job is not None and run in job.task(run.task).placements:
        job.task(run.task).placements[run] = successor.life
    log_event("run_moved", run=run_name(run), target=ended.life.name)
    if run_view.answered_ms is None:
        state.stop_run(successor, run_view, "target_restarted")
