/** Simulates a load against the planner, without network, store or real time. */
import * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as draws from "./draw.ts";
import type * as loads from "./load.ts";

/** A workflow at the end of a simulation. */
export interface WorkflowOutcome {
  readonly arrival: draws.Arrival;
  /** Null if it had not ended when the simulation did. */
  readonly tookMs: number | null;
}

/** Results of a simulation. */
export interface SimulationResult {
  readonly outcomes: readonly WorkflowOutcome[];
  /** Core-seconds of work lost in stops, not saved by checkpoints. */
  readonly lostWork: number;
  /** Mean share of accelerators that were free while work waited that did not fit. */
  readonly strandedShare: number;
  /** Mean share of accelerators in use. */
  readonly usedShare: number;
  readonly plans: number;
  /** Stops of runs for other workflows. */
  readonly preemptions: readonly Preemption[];
}

/** The stop of a run, and so of its gang, for another workflow. */
export interface Preemption {
  readonly task: Workflow.Task;
  readonly claimant: Workflow.Workflow;
  readonly ranMs: number;
}

/** Duration of the traffic in the users' days. */
const TRAFFIC_MS = 34_000;
/** Time after the traffic in which the remaining work can end. */
const DRAIN_MS = 60_000;
/** Interval of plans: the planning time of a large fleet and the pause after it. */
const PLAN_INTERVAL_MS = 20;
/** Delay from a plan to the start on the endpoint: one store write and one order. */
const START_DELAY_MS = 12;
/** Time after which a run's progress allows its end to be predicted. */
const MIN_PACE_RUN_MS = 600;
/** Factor by which work is slower away from its rack. */
const REMOTE_PENALTY = 3;

interface Run {
  readonly tasks: readonly Workflow.Task[];
  readonly run: number;
  readonly arrival: draws.Arrival;
  readonly endsAtMs: number;
  readonly beganAtMs: number;
  /** Share of the work that was done before this run. */
  readonly doneBefore: number;
  /** Speed of its endpoint, or of the slowest endpoint of its gang. */
  readonly speed: number;
  readonly isRemote: boolean;
  isStopped: boolean;
}

interface Endpoint {
  readonly id: string;
  readonly rack: string;
  readonly speed: number;
  readonly tasks: Set<Workflow.Task>;
}

/** Simulates a load with one seed. */
export function simulate(load: loads.Load, seed: number): SimulationResult {
  return new Simulation(load, seed).run();
}

class Simulation {
  readonly #load: loads.Load;
  readonly #endpoints: readonly Endpoint[];
  readonly #byId: ReadonlyMap<string, Endpoint>;
  readonly #arrivals: readonly draws.Arrival[];
  readonly #guarantees: ReadonlyMap<string, number>;
  readonly #active = new Map<Workflow.Workflow, draws.Arrival>();
  readonly #runs = new Set<Run>();
  readonly #runByTask = new Map<Workflow.Task, Run>();
  /** Share of a unit's work saved by its checkpoint, by the unit's first task. */
  readonly #savedShares = new Map<Workflow.Task, number>();
  readonly #pendingStops: { run: Run; atMs: number }[] = [];
  readonly #outcomes: WorkflowOutcome[] = [];
  readonly #preemptions: Preemption[] = [];
  readonly #urgent = new Scheduler.UrgentArrivals();
  readonly #estimates = new Scheduler.EstimateCorrections();
  #nowMs = 0;
  #lostWork = 0;
  #plans = 0;
  #strandedSum = 0;
  #usedSum = 0;
  #teamUse: Scheduler.TeamAmounts = new Map();
  #teamShares: Scheduler.TeamShares = new Map();

  constructor(load: loads.Load, seed: number) {
    this.#load = load;
    const speeds = load.speeds ?? [1];
    this.#endpoints = Array.from({ length: load.endpoints }, (_, i) => ({
      id: `endpoint-${i}`,
      rack: `rack-${Math.floor(i / load.rackSize)}`,
      // Interleaved, so that each rack has endpoints of all speeds.
      speed: speeds[(i * 7 + Math.floor(i / load.rackSize)) % speeds.length],
      tasks: new Set<Workflow.Task>(),
    }));
    this.#byId = new Map(this.#endpoints.map((one) => [one.id, one]));
    this.#arrivals = draws.drawArrivals(load, seed, TRAFFIC_MS);
    const all = load.endpoints * load.accelerators * load.guaranteedShare;
    this.#guarantees = new Map(
      draws.teamShares(load).map((share, i) => [
        draws.teamName(i),
        Math.round(all * share),
      ]),
    );
  }

  run(): SimulationResult {
    let next = 0;
    const endMs = TRAFFIC_MS + DRAIN_MS;
    for (; this.#nowMs < endMs; this.#nowMs += PLAN_INTERVAL_MS) {
      while (this.#arrivals[next]?.atMs <= this.#nowMs) {
        const arrival = this.#arrivals[next++];
        this.#active.set(arrival.workflow, arrival);
      }
      this.#endStops();
      this.#endRuns();
      if (this.#active.size > 0) this.#plan();
      if (next === this.#arrivals.length && this.#active.size === 0) break;
    }
    for (const arrival of this.#active.values()) {
      this.#outcomes.push({ arrival, tookMs: null });
    }
    return {
      outcomes: this.#outcomes,
      lostWork: this.#lostWork,
      strandedShare: this.#strandedSum / this.#plans,
      usedShare: this.#usedSum / this.#plans,
      plans: this.#plans,
      preemptions: this.#preemptions,
    };
  }

  #plan(): void {
    const states = this.#endpoints.map((one) => this.#stateOf(one));
    this.#urgent.record(this.#active.keys());
    this.#updateShares(states);
    const plan = Scheduler.makePlan({
      endpoints: states,
      workflows: [...this.#active.keys()],
      guarantees: this.#guarantees,
      nowMs: this.#nowMs,
      wallMs: this.#nowMs,
      remotePenalty: REMOTE_PENALTY,
      isAdvised: () => true,
      hardLoad: this.#load.hardLoad,
      stopMs: this.#load.stopMs,
      urgentTraffic: (service) => this.#urgent.trafficOf(service, this.#nowMs),
      corrections: this.#estimates.corrections,
      shares: this.#teamShares,
    });
    for (const stop of plan.stops) this.#stop(stop);
    for (const start of plan.starts) this.#start(start);
    this.#plans++;
    this.#measureUse(plan);
  }

  /** Updates the teams' shares as the coordinator does, but for each plan. */
  #updateShares(states: readonly Scheduler.EndpointSnapshot[]): void {
    if (this.#load.hardLoad?.teamsCompete !== true) return;
    const usage = Scheduler.sharesHeld(states);
    this.#teamUse = Scheduler.decayUse(this.#teamUse, usage, PLAN_INTERVAL_MS);
    this.#teamShares = Scheduler.computeShares(
      Scheduler.weightsOf(this.#guarantees),
      this.#teamUse,
      this.#teamShares,
    );
  }

  #stateOf(
    { id, rack, speed, tasks }: Endpoint,
  ): Scheduler.EndpointSnapshot {
    for (const task of tasks) {
      const run = this.#runByTask.get(task);
      if (run === undefined) continue;
      const isPaceKnown = this.#nowMs - run.beganAtMs > MIN_PACE_RUN_MS;
      if (isPaceKnown) task.endsAtMs = run.endsAtMs;
    }
    return {
      id,
      rack,
      service: "analysis",
      dataCentre: "dc-1",
      labels: new Set(),
      total: this.#load,
      usable: true,
      speed,
      tasks: [...tasks],
    };
  }

  #start({ unit, endpointIds }: Scheduler.StartDecision): void {
    const arrival = this.#active.get(unit.workflow);
    if (arrival === undefined) return;
    const run = 1 + Math.max(...unit.tasks.map((task) => task.run));
    unit.tasks.forEach((task, i) => {
      task.place(endpointIds[i], run, this.#nowMs);
      task.state = Workflow.TaskState.Running;
      this.#byId.get(endpointIds[i])?.tasks.add(task);
    });
    const racks = new Set(endpointIds.map((id) => this.#byId.get(id)?.rack));
    const { step } = unit;
    const isRemote = (step.rack !== null && !isOnly(racks, step.rack)) ||
      (step.gang && step.sameRack && racks.size > 1);
    // A gang progresses at the pace of its slowest member.
    const longestMs = Math.max(
      ...unit.tasks.map(({ key }, i) =>
        (arrival.runMs.get(key) ?? 0) /
        (this.#byId.get(endpointIds[i])?.speed ?? 1)
      ),
    );
    const doneBefore = this.#savedShares.get(unit.tasks[0]) ?? 0;
    const durationMs = longestMs * (isRemote ? REMOTE_PENALTY : 1);
    const newRun: Run = {
      tasks: unit.tasks,
      run,
      arrival,
      beganAtMs: this.#nowMs + START_DELAY_MS,
      endsAtMs: this.#nowMs + START_DELAY_MS + durationMs * (1 - doneBefore),
      doneBefore,
      speed: Math.min(
        ...endpointIds.map((id) => this.#byId.get(id)?.speed ?? 1),
      ),
      isRemote,
      isStopped: false,
    };
    this.#runs.add(newRun);
    for (const task of unit.tasks) this.#runByTask.set(task, newRun);
  }

  #stop({ task, claimant }: Scheduler.StopDecision): void {
    const run = this.#runByTask.get(task);
    if (run === undefined || run.isStopped) return;
    run.isStopped = true;
    const ranMs = this.#nowMs - run.beganAtMs;
    for (const member of run.tasks) member.preemptions++;
    this.#preemptions.push({ task, claimant: claimant.workflow, ranMs });
    for (const member of run.tasks) {
      member.state = Workflow.TaskState.Stopping;
    }
    this.#pendingStops.push({ run, atMs: this.#nowMs + this.#load.stopMs });
  }

  #endStops(): void {
    const due = this.#pendingStops.filter(({ atMs }) => atMs <= this.#nowMs);
    for (const { run, atMs } of due) {
      this.#pendingStops.splice(
        this.#pendingStops.findIndex((s) => s.run === run),
        1,
      );
      if (!this.#runs.has(run)) continue;
      this.#recordLostWork(run, atMs);
      this.#end(run, Workflow.RunEnd.Stopped);
    }
  }

  /** Counts the work that a stop loses; a checkpoint saves the rest. */
  #recordLostWork(run: Run, atMs: number): void {
    const { step } = run.tasks[0];
    const ranMs = Math.max(0, atMs - run.beganAtMs);
    const lostMs = step.checkpoints
      ? Math.min(ranMs, this.#load.checkpointMs / 2)
      : ranMs;
    const weight = step.cpuMillis / 1000 +
      draws.ACCELERATOR_WEIGHT * step.accelerators;
    this.#lostWork += run.tasks.length * weight * lostMs / 1000;
    if (!step.checkpoints) return;
    const allMs = (run.endsAtMs - run.beganAtMs) / (1 - run.doneBefore);
    const done = run.doneBefore + (ranMs - lostMs) / allMs;
    this.#savedShares.set(run.tasks[0], Math.min(1, done));
  }

  #endRuns(): void {
    for (const run of this.#runs) {
      if (run.endsAtMs > this.#nowMs) continue;
      this.#recordRunTime(run);
      this.#end(run, Workflow.RunEnd.Done);
    }
  }

  /** Records a run time, except from a checkpoint or away from the data. */
  #recordRunTime(
    { tasks, speed, isRemote: isAway, doneBefore, beganAtMs, endsAtMs }: Run,
  ): void {
    if (isAway || doneBefore > 0) return;
    const [{ workflow, step: { estimateMs } }] = tasks;
    const { queue } = workflow.spec.policy;
    const tookMs = endsAtMs - beganAtMs;
    this.#estimates.record({ queue, estimateMs, tookMs, speed });
  }

  #end(run: Run, how: Workflow.RunEnd): void {
    this.#runs.delete(run);
    const { workflow } = run.arrival;
    for (const task of run.tasks) {
      this.#runByTask.delete(task);
      this.#byId.get(task.endpoint ?? "")?.tasks.delete(task);
      const end = { run: run.run, how, checkpoint: "" };
      workflow.endRun(task, end, this.#nowMs);
    }
    if (!workflow.isOver) return;
    this.#active.delete(workflow);
    const tookMs = run.endsAtMs - run.arrival.atMs;
    this.#outcomes.push({ arrival: run.arrival, tookMs });
  }

  #measureUse(plan: Scheduler.Plan): void {
    let free = 0;
    for (const endpoint of this.#endpoints) {
      const tasks = [...endpoint.tasks];
      const inUse = tasks.reduce((sum, t) => sum + t.step.accelerators, 0);
      free += this.#load.accelerators - inUse;
    }
    const all = this.#load.endpoints * this.#load.accelerators;
    this.#usedSum += 1 - free / all;
    const isWaiting = plan.waits.some(({ reason }) =>
      reason === Scheduler.WaitReason.Room ||
      reason === Scheduler.WaitReason.Share
    );
    if (isWaiting) this.#strandedSum += free / all;
  }
}

function isOnly(racks: ReadonlySet<string | undefined>, rack: string): boolean {
  return racks.size === 1 && racks.has(rack);
}
