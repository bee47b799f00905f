/** Plays a load against the planner: no network, no store, a simulated time. */
import * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as draws from "./draw.ts";
import type * as loads from "./load.ts";

/** A workflow at the end of a play. */
export interface Served {
  readonly arrival: draws.Arrival;
  /** Null: it had not ended when the play did. */
  readonly tookMs: number | null;
}

/** What came of a play. */
export interface Played {
  readonly served: readonly Served[];
  /** Core-seconds of work that was stopped and not saved. */
  readonly thrownAway: number;
  /** Accelerators that were free where nothing that waited fitted, mean share. */
  readonly strandedShare: number;
  /** Accelerators in use, mean share. */
  readonly usedShare: number;
  readonly plans: number;
  /** Stops for others, as far as they struck a run. */
  readonly stops: readonly StopSeen[];
}

/** One stop of a run, and with it of its gang, for others. */
export interface StopSeen {
  readonly task: Workflow.Task;
  readonly claimant: Workflow.Workflow;
  readonly ranMs: number;
}

/** Traffic of the users' days, in ms. */
const TRAFFIC_MS = 34_000;
/** After the traffic the fleet goes on for this time, in ms. */
const RUN_OUT_MS = 60_000;
/** Plans are this far apart at least, in ms: a plan of a large fleet and its pause. */
const PLAN_EACH_MS = 20;
/** From a plan to the start on the endpoint: a record and an order, in ms. */
const START_MS = 12;
/** A run tells its pace after this time, in ms. */
const PACE_KNOWN_MS = 600;
/** How much slower work runs away from its rack. */
const REMOTE_PENALTY = 3;

interface Run {
  readonly tasks: readonly Workflow.Task[];
  readonly run: number;
  readonly arrival: draws.Arrival;
  readonly endsAtMs: number;
  readonly beganAtMs: number;
  /** Share that was done when it began. */
  readonly doneBefore: number;
  /** Speed of its endpoint, or of the slowest that its gang runs on. */
  readonly speed: number;
  readonly isAway: boolean;
  isStopped: boolean;
}

interface Endpoint {
  readonly id: string;
  readonly rack: string;
  readonly speed: number;
  readonly occupants: Set<Workflow.Task>;
}

/** Plays one seed of a load. */
export function play(load: loads.Load, seed: number): Played {
  return new Play(load, seed).run();
}

class Play {
  readonly #load: loads.Load;
  readonly #endpoints: readonly Endpoint[];
  readonly #byId: ReadonlyMap<string, Endpoint>;
  readonly #arrivals: readonly draws.Arrival[];
  readonly #guarantees: ReadonlyMap<string, number>;
  readonly #live = new Map<Workflow.Workflow, draws.Arrival>();
  readonly #runs = new Set<Run>();
  readonly #runOf = new Map<Workflow.Task, Run>();
  /** Share of a unit that its checkpoint saves, by its first task. */
  readonly #saved = new Map<Workflow.Task, number>();
  readonly #stops: { run: Run; atMs: number }[] = [];
  readonly #served: Served[] = [];
  readonly #stopsSeen: StopSeen[] = [];
  readonly #urgent = new Scheduler.UrgentArrivals();
  readonly #estimates = new Scheduler.EstimateCorrections();
  #nowMs = 0;
  #thrownAway = 0;
  #plans = 0;
  #stranded = 0;
  #used = 0;
  #teamUse: Scheduler.TeamAmounts = new Map();
  #teamShares: Scheduler.TeamShares = new Map();

  constructor(load: loads.Load, seed: number) {
    this.#load = load;
    const speeds = load.speeds ?? [1];
    this.#endpoints = Array.from({ length: load.endpoints }, (_, i) => ({
      id: `endpoint-${i}`,
      rack: `rack-${Math.floor(i / load.rackSize)}`,
      // Not in order, so that each rack has endpoints of all speeds.
      speed: speeds[(i * 7 + Math.floor(i / load.rackSize)) % speeds.length],
      occupants: new Set<Workflow.Task>(),
    }));
    this.#byId = new Map(this.#endpoints.map((one) => [one.id, one]));
    this.#arrivals = draws.drawArrivals(load, seed, TRAFFIC_MS);
    const all = load.endpoints * load.accelerators * load.guaranteedShare;
    this.#guarantees = new Map(
      draws.teamShares(load).map((share, i) => [
        draws.nameOfTeam(i),
        Math.round(all * share),
      ]),
    );
  }

  run(): Played {
    let next = 0;
    const endMs = TRAFFIC_MS + RUN_OUT_MS;
    for (; this.#nowMs < endMs; this.#nowMs += PLAN_EACH_MS) {
      while (this.#arrivals[next]?.atMs <= this.#nowMs) {
        const arrival = this.#arrivals[next++];
        this.#live.set(arrival.workflow, arrival);
      }
      this.#endStops();
      this.#endRuns();
      if (this.#live.size > 0) this.#plan();
      if (next === this.#arrivals.length && this.#live.size === 0) break;
    }
    for (const arrival of this.#live.values()) {
      this.#served.push({ arrival, tookMs: null });
    }
    return {
      served: this.#served,
      thrownAway: this.#thrownAway,
      strandedShare: this.#stranded / this.#plans,
      usedShare: this.#used / this.#plans,
      plans: this.#plans,
      stops: this.#stopsSeen,
    };
  }

  #plan(): void {
    const states = this.#endpoints.map((one) => this.#stateOf(one));
    this.#urgent.record(this.#live.keys());
    this.#judgeShares(states);
    const plan = Scheduler.makePlan({
      endpoints: states,
      workflows: [...this.#live.keys()],
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
    this.#measureRoom(plan);
  }

  /** As the coordinator keeps them, but anew for each plan. */
  #judgeShares(states: readonly Scheduler.EndpointSnapshot[]): void {
    if (this.#load.hardLoad?.teamsCompete !== true) return;
    const held = Scheduler.sharesHeld(states);
    this.#teamUse = Scheduler.decayUse(this.#teamUse, held, PLAN_EACH_MS);
    this.#teamShares = Scheduler.computeShares(
      Scheduler.weightsOf(this.#guarantees),
      this.#teamUse,
      this.#teamShares,
    );
  }

  #stateOf(
    { id, rack, speed, occupants }: Endpoint,
  ): Scheduler.EndpointSnapshot {
    for (const task of occupants) {
      const run = this.#runOf.get(task);
      if (run === undefined) continue;
      const isKnown = this.#nowMs - run.beganAtMs > PACE_KNOWN_MS;
      if (isKnown) task.endsAtMs = run.endsAtMs;
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
      tasks: [...occupants],
    };
  }

  #start({ unit, endpointIds: workers }: Scheduler.StartDecision): void {
    const arrival = this.#live.get(unit.workflow);
    if (arrival === undefined) return;
    const run = 1 + Math.max(...unit.tasks.map((task) => task.run));
    unit.tasks.forEach((task, i) => {
      task.place(workers[i], run, this.#nowMs);
      task.state = Workflow.TaskState.Running;
      this.#byId.get(workers[i])?.occupants.add(task);
    });
    const racks = new Set(workers.map((id) => this.#byId.get(id)?.rack));
    const { step } = unit;
    const isAway = (step.rack !== null && !isOnly(racks, step.rack)) ||
      (step.gang && step.sameRack && racks.size > 1);
    // A gang comes on at the pace of its slowest member.
    const longestMs = Math.max(
      ...unit.tasks.map(({ key }, i) =>
        (arrival.runMs.get(key) ?? 0) /
        (this.#byId.get(workers[i])?.speed ?? 1)
      ),
    );
    const doneBefore = this.#saved.get(unit.tasks[0]) ?? 0;
    const lastsMs = longestMs * (isAway ? REMOTE_PENALTY : 1);
    const began: Run = {
      tasks: unit.tasks,
      run,
      arrival,
      beganAtMs: this.#nowMs + START_MS,
      endsAtMs: this.#nowMs + START_MS + lastsMs * (1 - doneBefore),
      doneBefore,
      speed: Math.min(
        ...workers.map((id) => this.#byId.get(id)?.speed ?? 1),
      ),
      isAway,
      isStopped: false,
    };
    this.#runs.add(began);
    for (const task of unit.tasks) this.#runOf.set(task, began);
  }

  #stop({ task, claimant }: Scheduler.StopDecision): void {
    const run = this.#runOf.get(task);
    if (run === undefined || run.isStopped) return;
    run.isStopped = true;
    const ranMs = this.#nowMs - run.beganAtMs;
    for (const member of run.tasks) member.preemptions++;
    this.#stopsSeen.push({ task, claimant: claimant.workflow, ranMs });
    for (const member of run.tasks) {
      member.state = Workflow.TaskState.Stopping;
    }
    this.#stops.push({ run, atMs: this.#nowMs + this.#load.stopMs });
  }

  #endStops(): void {
    const due = this.#stops.filter(({ atMs }) => atMs <= this.#nowMs);
    for (const { run, atMs } of due) {
      this.#stops.splice(this.#stops.findIndex((s) => s.run === run), 1);
      if (!this.#runs.has(run)) continue;
      this.#throwAway(run, atMs);
      this.#end(run, Workflow.RunEnd.Stopped);
    }
  }

  /** Work that is lost with a stopped run; a checkpoint saves the rest. */
  #throwAway(run: Run, atMs: number): void {
    const { step } = run.tasks[0];
    const ranMs = Math.max(0, atMs - run.beganAtMs);
    const lostMs = step.checkpoints
      ? Math.min(ranMs, this.#load.checkpointMs / 2)
      : ranMs;
    const weight = step.cpuMillis / 1000 +
      draws.ACCELERATOR_WEIGHT * step.accelerators;
    this.#thrownAway += run.tasks.length * weight * lostMs / 1000;
    if (!step.checkpoints) return;
    const allMs = (run.endsAtMs - run.beganAtMs) / (1 - run.doneBefore);
    const done = run.doneBefore + (ranMs - lostMs) / allMs;
    this.#saved.set(run.tasks[0], Math.min(1, done));
  }

  #endRuns(): void {
    for (const run of this.#runs) {
      if (run.endsAtMs > this.#nowMs) continue;
      this.#learn(run);
      this.#end(run, Workflow.RunEnd.Done);
    }
  }

  /** Runs that began from a checkpoint or away from their data say little. */
  #learn({ tasks, speed, isAway, doneBefore, beganAtMs, endsAtMs }: Run): void {
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
      this.#runOf.delete(task);
      this.#byId.get(task.endpoint ?? "")?.occupants.delete(task);
      const end = { run: run.run, how, checkpoint: "" };
      workflow.endRun(task, end, this.#nowMs);
    }
    if (!workflow.isOver) return;
    this.#live.delete(workflow);
    const tookMs = run.endsAtMs - run.arrival.atMs;
    this.#served.push({ arrival: run.arrival, tookMs });
  }

  #measureRoom(plan: Scheduler.Plan): void {
    let free = 0;
    for (const endpoint of this.#endpoints) {
      const held = [...endpoint.occupants];
      const taken = held.reduce((sum, t) => sum + t.step.accelerators, 0);
      free += this.#load.accelerators - taken;
    }
    const all = this.#load.endpoints * this.#load.accelerators;
    this.#used += 1 - free / all;
    const isWaiting = plan.waits.some(({ reason }) =>
      reason === Scheduler.WaitReason.Room ||
      reason === Scheduler.WaitReason.Share
    );
    if (isWaiting) this.#stranded += free / all;
  }
}

function isOnly(racks: ReadonlySet<string | undefined>, rack: string): boolean {
  return racks.size === 1 && racks.has(rack);
}
