/**
 * Simulates work on endpoints that are cut off while their list entries expire. No
 * endpoint crashes and no task fails.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as Workflow from "@cairngate/workflow";
import * as endpointCuts from "./endpoint_cuts.ts";
import * as checks from "./run_checks.ts";
import * as randoms from "./seeded_random.ts";
import * as fleets from "./test_fleet.ts";

/** Run time of a task, in ms: longer than the longest lease of the fleet, 6 s. */
const RUN_MS = 7000;
/** Number of cuts: enough that every run meets one, wherever it restarts. */
const CUT_COUNT = 16;
/** Time between two cuts, in ms. */
const PAUSE_MS = { min: 2500, max: 3000 };
/** Number of cuts between two changes of the coordinator. */
const CUTS_PER_TERM = 3;
/** Number of cuts between two submissions of urgent work. */
const CUTS_PER_URGENT = 2;
/** Run time and task count of urgent work; the count is the guarantee of the team. */
const URGENT = { runMs: 2000, count: 4 };
/** Time in which all work must end after the last cut, in ms: about ten runs. */
const COMPLETION_TIMEOUT_MS = 80_000;

/** Options of a simulation of cuts. */
export interface CutScenario {
  readonly schedule: endpointCuts.CutSchedule;
  /** Accelerators of the endpoints. */
  readonly workers: readonly number[];
  readonly workflows: number;
  /** Number of endpoints that are cut off at a time. */
  readonly endpointsPerCut: number;
  /** Whether each workflow is a gang of two tasks instead of one task. */
  readonly gangs: boolean;
  readonly changesCoordinator: boolean;
  /** Whether guaranteed work preempts other work between the cuts. */
  readonly addsUrgentWork: boolean;
}

/**
 * Default cuts: six tasks on eight endpoints, of which up to four are cut off at a
 * time, for 3 s longer than the longest lease. The list entry returns with the link.
 */
export const DEFAULT_CUTS: CutScenario = {
  schedule: {
    outcome: StandIns.OrderOutcome.Lost,
    endsMs: 9000,
    entryRemovedMs: 1500,
    entryRelistedMs: 9000,
  },
  workers: [2, 2, 2, 2, 2, 2, 2, 2],
  workflows: 6,
  endpointsPerCut: 1,
  gangs: false,
  changesCoordinator: false,
  addsUrgentWork: false,
};

/** Problems found by a simulation; all lists are empty on success. */
export interface CutOutcome {
  /** Workflows that failed. */
  readonly failed: readonly string[];
  /** Workflows that have neither completed nor failed at the end. */
  readonly unfinished: readonly string[];
  /** Descriptions of the runs that violate a guarantee. */
  readonly violations: readonly string[];
}

/** Runs the work and the cuts of one seed. */
class CutSimulation {
  readonly fleet: fleets.TestFleet;
  readonly ids: string[] = [];
  readonly #options: CutScenario;
  readonly #random: randoms.SeededRandom;
  readonly #cuts: endpointCuts.EndpointCuts;

  constructor(options: CutScenario, seed: number) {
    this.#options = options;
    this.#random = new randoms.SeededRandom(seed);
    this.fleet = new fleets.TestFleet({ workers: options.workers, seed });
    this.#cuts = new endpointCuts.EndpointCuts(this.fleet);
    this.fleet.workers.behave = (task) => ({
      runMs: task.startsWith("b") ? URGENT.runMs : RUN_MS,
      fails: false,
    });
    this.fleet.workers.decideOutcome = (id) =>
      this.#cuts.outcomeOf(id) ?? StandIns.OrderOutcome.Delivered;
  }

  async submitAll(): Promise<void> {
    const gang = this.#options.gangs ? { count: 2, gang: true } : {};
    const steps = [fleets.buildStep({ estimateMs: RUN_MS, ...gang })];
    const priority = this.#options.addsUrgentWork ? 2 : 1;
    for (let i = 0; i < this.#options.workflows; i++) {
      await this.#submit("a", { steps, priority });
    }
  }

  async cutAll(): Promise<void> {
    const {
      changesCoordinator,
      addsUrgentWork,
      endpointsPerCut,
      schedule,
    } = this.#options;
    for (let i = 1; i <= CUT_COUNT; i++) {
      const pauseMs = this.#random.between(PAUSE_MS.min, PAUSE_MS.max);
      await this.fleet.clock.advance(pauseMs);
      for (const id of this.#chooseEndpoints(endpointsPerCut)) {
        this.#cuts.begin(id, schedule);
      }
      if (changesCoordinator && i % CUTS_PER_TERM === 0) {
        await this.#replaceCoordinator();
      }
      if (addsUrgentWork && i % CUTS_PER_URGENT === 0) await this.#addUrgent();
    }
  }

  /**
   * Chooses busy endpoints that are not cut off; fewer than `count` if there are not
   * enough.
   */
  #chooseEndpoints(count: number): string[] {
    this.fleet.workers.update();
    const running = this.fleet.workers.runs.filter(({ how }) => how === null);
    const busyIds = new Set(running.map(({ worker }) => worker));
    const candidates = [...busyIds].filter((id) => !this.#cuts.has(id));
    const chosen: string[] = [];
    while (chosen.length < count && candidates.length > 0) {
      const at = this.#random.between(0, candidates.length - 1);
      chosen.push(...candidates.splice(at, 1));
    }
    return chosen;
  }

  async #replaceCoordinator(): Promise<void> {
    const coordinator = this.fleet.coordinator();
    if (coordinator === null || !this.fleet.boxes.has(coordinator)) return;
    await this.fleet.kill(coordinator);
    this.fleet.startBox(`${coordinator}+`);
  }

  async #addUrgent(): Promise<void> {
    const { runMs: estimateMs, count } = URGENT;
    const steps = [fleets.buildStep({ estimateMs, count })];
    await this.#submit("b", { steps, priority: 0 });
  }

  async #submit(
    kind: string,
    options: { steps: readonly Workflow.StepSpec[]; priority: number },
  ): Promise<void> {
    const id = `${kind}${String(this.ids.length).padStart(15, "0")}`;
    const [box] = this.fleet.boxes.keys();
    await this.fleet.submit(box, id, options);
    this.ids.push(id);
  }
}

/** Simulates the default cuts, with some options changed, for each of the seeds. */
export async function simulateCuts(
  changes: Partial<CutScenario>,
  seeds: readonly number[],
): Promise<CutOutcome> {
  const options = { ...DEFAULT_CUTS, ...changes };
  const outcomes: CutOutcome[] = [];
  for (const seed of seeds) outcomes.push(await simulateSeed(options, seed));
  return {
    failed: outcomes.flatMap(({ failed }) => failed),
    unfinished: outcomes.flatMap(({ unfinished }) => unfinished),
    violations: outcomes.flatMap(({ violations }) => violations),
  };
}

async function simulateSeed(
  options: CutScenario,
  seed: number,
): Promise<CutOutcome> {
  const simulation = new CutSimulation(options, seed);
  const { fleet, ids } = simulation;
  await fleet.start();
  await simulation.submitAll();
  await simulation.cutAll();
  const { Completed, Failed } = Workflow.WorkflowState;
  const isFailed = (id: string) => fleet.state(id) === Failed;
  const isOver = (id: string) => isFailed(id) || fleet.state(id) === Completed;
  await fleet.until(() => ids.every(isOver), COMPLETION_TIMEOUT_MS);
  const label = (id: string) => `seed ${seed}: ${id}`;
  const outcome = {
    failed: ids.filter(isFailed).map(label),
    unfinished: ids.filter((id) => !isOver(id)).map(label),
    violations: checks.findRunViolations(fleet).map(label),
  };
  await fleet.stop();
  return outcome;
}
