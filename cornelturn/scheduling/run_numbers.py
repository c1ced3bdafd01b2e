"""Numbers of runs: each owner of a pool has a range of them that no other one may use.

A target refuses a start whose number is not higher than that of a run that it has ended
or stopped, and obeys no owner with a lower fencing token than it has seen. As the
ranges rise with the token, all that it knows from other owners is lower than each
number of the owner that it obeys, whether that one could learn of it or not.
"""

from __future__ import annotations

RUN_NUMBERS_PER_GENERATION = 1_000_000
"""Size of a range; 9,000 million generations stay below the integers that JSON numbers
represent exactly."""


class RunNumbersUsedUp(Exception):
    """An owner has used all its numbers for a task; the next owner has others."""


def last_run_number(generation: int) -> int:
    """Return the highest number that an owner may use."""
    return generation * RUN_NUMBERS_PER_GENERATION


def is_of_earlier_owner(number: int, generation: int) -> bool:
    """Return whether a run has a number of an owner before that of a generation."""
    return number <= last_run_number(generation - 1)


def next_run_number(generation: int, known: int) -> int:
    """Return the number of the next run of a task.

    Parameters
    ----------
    generation : int
        Generation of the owner, which is its fencing token.
    known : int
        Highest known number of a run of the task, 0 if none is known.

    Raises
    ------
    RunNumbersUsedUp
        If the number would lie in the range of the next owner.
    """
    number = max(last_run_number(generation - 1), known) + 1
    if number > last_run_number(generation):
        raise RunNumbersUsedUp(f"generation {generation} has used number {known}")
    return number


def number_past_refusal(generation: int) -> int:
    """Return the number after which an owner goes on if a target knows a higher one.

    No owner can have caused that, so the number is not known. The middle of the range
    leaves it behind in one step, and leaves enough numbers.
    """
    return last_run_number(generation) - RUN_NUMBERS_PER_GENERATION // 2
