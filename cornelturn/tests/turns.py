"""Simulation of queues that peak one after another, to test the sizing of pools.

Each queue has about five times its mean load in its turn and almost none in between.
Tasks run on the cores of machines. Moves and the first answer of a target take time. A
cordoned target finishes the tasks that it runs.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from cornelturn.capacity.plan import SizingInputs
from cornelturn.capacity.sizing import PoolSizer
from cornelturn.jobs.model import Resources
from cornelturn.model.upkeep import Machine, MachineState
from cornelturn.peering.messages import PoolLoad, TargetLoad

TICK_MS = 50
LOAD_INTERVAL_MS = 200
DECISION_INTERVAL_MS = 250
MOVE_MS = 1_550
"""Time from the order of a move until the machine has its target."""

TARGET_START_MS = 350
"""Time from then until the target accepts its first task."""

TURN_MS = 8_000
RISE_MS = 3_500
IDLE_RATE_SHARE = 0.05
PEAK_RATE_FACTOR = 5.0
"""Arrival rate at the peak of a turn, as a multiple of the mean."""

RUN_SPREAD = 0.5
"""Largest deviation of a run time from the mean, as a fraction of the mean."""

GOLDEN_RATIO_FRACTION = 0.618
WARM_UP_MS = 8_000
MACHINE_CORES = 64.0
STANDBY = "spare"
STANDBY_MACHINES = 29
DEADLINE_FACTOR = 1.6
DEADLINE_MARGIN_MS = 600


@dataclass(frozen=True, slots=True)
class Queue:
    """Workload of a pool.

    Parameters
    ----------
    jobs_per_s : float
        Mean arrival rate of jobs per second.
    steps : tuple of int
        Number of steps of successive jobs, repeated.
    cores : float
        Cores that one task uses.
    base : int
        Machines of the pool at ordinary demand.
    """

    pool: str
    jobs_per_s: float
    steps: tuple[int, ...]
    run_ms: int
    cores: float
    base: int


QUEUES = (
    Queue("education", 3.92, (1, 2, 3, 2), 1_300, 13.0, 43),
    Queue("employment", 12.1, (1, 2, 2, 1, 2), 800, 6.2, 32),
    Queue("references", 15.2, (1, 2, 2, 1, 2), 800, 6.2, 39),
    Queue("licensing", 3.21, (1, 2, 3, 2), 1_300, 13.0, 36),
)
"""Queues in the order of their turns."""

TASKS = (8, 3, 12, 6, 4, 15, 7)
"""Tasks in each step of successive jobs, repeated."""


@dataclass(frozen=True, slots=True)
class Burst:
    """A period in which the arrival rate of a queue is multiplied."""

    pool: str
    from_ms: int
    to_ms: int
    factor: float


@dataclass(frozen=True, slots=True)
class Takeover:
    """A period in which the jobs that were waiting at its start are held back."""

    pool: str
    from_ms: int
    to_ms: int

    def holds_back(self, job: SimulatedJob, now_ms: int) -> bool:
        """Return whether a job must not start now."""
        is_now = self.from_ms <= now_ms < self.to_ms
        return (
            is_now and job.queue.pool == self.pool and job.submitted_ms < self.from_ms
        )


@dataclass(eq=False, slots=True)
class SimulatedMachine:
    """A machine and the target on it.

    Parameters
    ----------
    due_ms : int
        Time at which its move ends.
    target_count : int
        Number of targets that the machine has had.
    open_ms : int
        Time from which its target accepts tasks.
    """

    name: str
    pool: str
    is_up: bool = True
    due_ms: int = 0
    target_count: int = 0
    open_ms: int = 0
    free: float = MACHINE_CORES
    runs: int = 0
    is_cordoned: bool = False

    def target(self) -> str:
        """Return the name of its target, empty while it is off or in transit."""
        is_on = self.is_up and self.pool != STANDBY
        return f"{self.name}-{self.target_count}" if is_on else ""

    def accepts_work(self, now_ms: int) -> bool:
        """Return whether new tasks may be placed on the machine."""
        return bool(self.target()) and not self.is_cordoned and self.open_ms <= now_ms


@dataclass(eq=False, slots=True)
class SimulatedJob:
    """A job: a sequence of steps with the same number of tasks.

    Parameters
    ----------
    steps, tasks : int
        Number of steps, and of tasks in each.
    waiting_tasks : int
        Tasks of the current step that have not started.
    """

    queue: Queue
    submitted_ms: int
    steps: int
    tasks: int
    waiting_tasks: int
    step: int = 0
    running: int = 0
    ended_ms: int | None = None

    def due_ms(self) -> float:
        """Return the deadline of the job."""
        return (
            self.submitted_ms
            + DEADLINE_FACTOR * self.steps * self.queue.run_ms
            + DEADLINE_MARGIN_MS
        )

    def is_on_time(self) -> bool:
        """Return whether the job has ended before its deadline."""
        return self.ended_ms is not None and self.ended_ms <= self.due_ms()

    def order(self, now_ms: int) -> tuple[bool, int, int]:
        """Return the sort key among waiting jobs: those that can be on time first."""
        steps_left = self.steps - self.step
        is_late = now_ms + steps_left * self.queue.run_ms > self.due_ms()
        return (
            is_late,
            (steps_left - 1) * self.tasks + self.waiting_tasks,
            self.submitted_ms,
        )


@dataclass
class TurnSimulation:
    """Four queues, with 150 machines in their pools and 29 machines on standby.

    Parameters
    ----------
    reports_held_back : bool
        Whether the load of a pool states which demand is held back.
    """

    bursts: tuple[Burst, ...] = ()
    takeovers: tuple[Takeover, ...] = ()
    reports_held_back: bool = True
    sizing: PoolSizer = field(
        default_factory=lambda: PoolSizer(
            base_sizes={queue.pool: queue.base for queue in QUEUES}
        )
    )
    machines: list[SimulatedMachine] = field(default_factory=list)
    jobs: list[SimulatedJob] = field(default_factory=list)
    waiting: dict[str, list[SimulatedJob]] = field(
        default_factory=lambda: {queue.pool: [] for queue in QUEUES}
    )
    arrival_remainder: dict[str, float] = field(default_factory=dict)
    task_ends: list[tuple[int, int, SimulatedMachine, SimulatedJob]] = field(
        default_factory=list
    )
    loads: dict[str, PoolLoad] = field(default_factory=dict)
    task_numbers: count[int] = field(default_factory=count)
    now_ms: int = -WARM_UP_MS
    moves: int = 0
    machine_seconds: float = 0.0

    def __post_init__(self) -> None:
        sizes = {queue.pool: queue.base for queue in QUEUES} | {
            STANDBY: STANDBY_MACHINES
        }
        self.machines = [
            SimulatedMachine(f"{pool}-{number}", pool)
            for pool, size in sizes.items()
            for number in range(size)
        ]

    def run(self) -> None:
        """Simulate all turns and the time until all jobs have ended."""
        while self.now_ms < (len(QUEUES) + 1) * TURN_MS:
            self.now_ms += TICK_MS
            self._arrive()
            self._end_tasks()
            self._end_moves()
            for queue in QUEUES:
                self._start_tasks(queue)
            if self.now_ms % LOAD_INTERVAL_MS == 0:
                self._report_loads()
            if self.now_ms % DECISION_INTERVAL_MS == 0 and self.loads:
                self._decide()
            in_pools = sum(machine.pool != STANDBY for machine in self.machines)
            self.machine_seconds += in_pools * TICK_MS / 1_000

    def on_time_share(self, pool: str) -> float:
        """Return the share of the jobs of a queue that ended on time."""
        jobs = [job for job in self.jobs if job.queue.pool == pool]
        return sum(job.is_on_time() for job in jobs) / len(jobs)

    def size(self, pool: str) -> int:
        """Return how many machines are in a pool or in transit to it."""
        return sum(machine.pool == pool for machine in self.machines)

    def _arrive(self) -> None:
        if not 0 <= self.now_ms < len(QUEUES) * TURN_MS:
            return
        for turn, queue in enumerate(QUEUES):
            intensity = turn_intensity(self.now_ms - turn * TURN_MS)
            rate = queue.jobs_per_s * (IDLE_RATE_SHARE + PEAK_RATE_FACTOR * intensity)
            for burst in self.bursts:
                is_now = burst.from_ms <= self.now_ms < burst.to_ms
                rate *= burst.factor if is_now and burst.pool == queue.pool else 1.0
            arrival_remainder = (
                self.arrival_remainder.get(queue.pool, 0.5) + rate * TICK_MS / 1_000
            )
            self.arrival_remainder[queue.pool] = arrival_remainder % 1.0
            for _ in range(int(arrival_remainder)):
                number = len(self.jobs)
                steps = queue.steps[number % len(queue.steps)]
                tasks = TASKS[number % len(TASKS)]
                job = SimulatedJob(queue, self.now_ms, steps, tasks, tasks)
                self.jobs.append(job)
                self.waiting[queue.pool].append(job)

    def _end_tasks(self) -> None:
        while self.task_ends and self.task_ends[0][0] <= self.now_ms:
            _, _, machine, job = heappop(self.task_ends)
            machine.runs -= 1
            machine.free += job.queue.cores
            job.running -= 1
            if job.running or job.waiting_tasks:
                continue
            job.step += 1
            if job.step == job.steps:
                job.ended_ms = self.now_ms
            else:
                job.waiting_tasks = job.tasks
                self.waiting[job.queue.pool].append(job)

    def _end_moves(self) -> None:
        for machine in self.machines:
            if not machine.is_up and machine.due_ms <= self.now_ms:
                machine.is_up = True
                machine.target_count += 1
                machine.open_ms = self.now_ms + TARGET_START_MS
                machine.is_cordoned = False

    def _start_tasks(self, queue: Queue) -> None:
        """Start the tasks that fit, on the fullest machines first."""
        now_ms = self.now_ms
        waiting = sorted(self.waiting[queue.pool], key=lambda job: job.order(now_ms))
        startable = [job for job in waiting if not self._is_held_back(job)]
        pool_machines = [
            machine for machine in self.machines if machine.pool == queue.pool
        ]
        fitting = [
            machine
            for machine in pool_machines
            if machine.accepts_work(now_ms) and machine.free >= queue.cores
        ]
        fitting.sort(key=lambda machine: machine.free, reverse=True)
        for job in startable:
            while job.waiting_tasks and fitting:
                self._start(fitting[-1], job)
                if fitting[-1].free < queue.cores:
                    fitting.pop()
        self.waiting[queue.pool] = [job for job in waiting if job.waiting_tasks]

    def _is_held_back(self, job: SimulatedJob) -> bool:
        return any(takeover.holds_back(job, self.now_ms) for takeover in self.takeovers)

    def _start(self, machine: SimulatedMachine, job: SimulatedJob) -> None:
        number = next(self.task_numbers)
        spread = 1.0 + RUN_SPREAD * (2 * (number * GOLDEN_RATIO_FRACTION % 1.0) - 1)
        end_ms = self.now_ms + round(job.queue.run_ms * spread)
        machine.runs += 1
        machine.free -= job.queue.cores
        job.waiting_tasks -= 1
        job.running += 1
        heappush(self.task_ends, (end_ms, number, machine, job))

    def _report_loads(self) -> None:
        for queue in QUEUES:
            load = self._load(queue)
            self.loads[queue.pool] = load
            self.sizing.record_load(load, self.now_ms)

    def _load(self, queue: Queue) -> PoolLoad:
        pool_machines = [
            machine
            for machine in self.machines
            if machine.pool == queue.pool and machine.target()
        ]
        open_machines = [
            machine for machine in pool_machines if machine.accepts_work(self.now_ms)
        ]
        waiting = self.waiting[queue.pool]
        tasks = sum(job.waiting_tasks for job in waiting)
        reported_jobs = waiting if self.reports_held_back else ()
        held_back = sum(
            job.waiting_tasks for job in reported_jobs if self._is_held_back(job)
        )
        return PoolLoad(
            pool=queue.pool,
            generation=1,
            cordon=1,
            targets=tuple(
                TargetLoad(machine.target(), machine.runs, 0, machine.is_cordoned)
                for machine in pool_machines
            ),
            held=to_need(
                sum(MACHINE_CORES - machine.free for machine in pool_machines)
            ),
            waiting=to_need(tasks * queue.cores),
            capacity=to_need(MACHINE_CORES * len(open_machines)),
            open_targets=len(open_machines),
            least_targets=0,
            held_back=to_need(held_back * queue.cores),
        )

    def _decide(self) -> None:
        """Make one sizing decision and apply it."""
        plan = self.sizing.plan(self._inputs(), self.now_ms)
        by_name = {machine.name: machine for machine in self.machines}
        for move in plan.moves:
            machine = by_name[move.machine.name]
            assert machine.runs == 0
            self.moves += 1
            self.sizing.transits.record_move(move, self.now_ms)
            machine.pool = move.pool
            machine.is_up = False
            machine.due_ms = self.now_ms + MOVE_MS
        cordoned = {machine.name for machine in plan.cordoned}
        for machine in self.machines:
            machine.is_cordoned = machine.name in cordoned

    def _inputs(self) -> SizingInputs:
        machines = tuple(to_machine(machine) for machine in self.machines)
        return sizing_inputs(machines, self.loads)


def sizing_inputs(
    machines: tuple[Machine, ...], loads: dict[str, PoolLoad]
) -> SizingInputs:
    """Return the input of a decision on sizes while no upkeep is due."""
    return SizingInputs(
        machines=machines,
        pinned=set(),
        upkeep_draining=set(),
        standby=frozenset({STANDBY}),
        pool_loads=dict(loads),
        target_loads={
            target.target: target for load in loads.values() for target in load.targets
        },
    )


def to_need(cores: float) -> Resources:
    """Convert a number of cores to a need."""
    return Resources(round(cores * 1_000))


def to_machine(machine: SimulatedMachine) -> Machine:
    """Convert a machine to the form in which the platform lists it."""
    state = MachineState.UP if machine.is_up else MachineState.MOVING
    return Machine(machine.name, machine.pool, state, machine.target())


def turn_intensity(at_ms: int) -> float:
    """Return the relative demand, 0 to 1, at a time after the start of a turn."""
    rise = (at_ms + TICK_MS) / RISE_MS
    fall = (at_ms - TURN_MS + RISE_MS / 2) / RISE_MS
    return smooth_step(rise) * (1.0 - smooth_step(fall))


def smooth_step(value: float) -> float:
    """Return the cubic smoothstep of a value clamped to 0 to 1."""
    within = min(1.0, max(0.0, value))
    return within * within * (3.0 - 2.0 * within)
