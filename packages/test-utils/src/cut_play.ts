/**
 * One play of work whose endpoints are cut off while their entries lapse. No
 * endpoint ends in it and no task fails.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as Workflow from "@cairngate/workflow";
import * as cutting from "./endpoint_cuts.ts";
import * as checks from "./run_checks.ts";
import * as randoms from "./seeded_random.ts";
import * as fleets from "./test_fleet.ts";

/** Time of a run, in ms: longer than the longest lease of the fleet, 6 s. */
const RUN_MS = 7000;
/** Cuts of a play: each run meets one, wherever it starts again. */
const CUTS = 16;
/** Time between two cuts, in ms. */
const PAUSE_MS = { least: 2500, most: 3000 };
/** Cuts after each of which another box coordinates, where a play changes it. */
const CUTS_PER_TERM = 3;
/** Cuts after each of which urgent work is handed in, where a play has it. */
const CUTS_PER_RUSH = 2;
/** Time of urgent work, in ms, and its width: the guarantee of the team. */
const RUSH = { runMs: 2000, count: 4 };
/** Time in which all work ends after the last cut, in ms: some ten runs. */
const LIMIT_MS = 80_000;

/** What is played. */
export interface CutPlay {
  readonly shape: cutting.CutShape;
  /** Accelerators of the endpoints. */
  readonly workers: readonly number[];
  readonly workflows: number;
  /** Endpoints that are cut off at each of the moments. */
  readonly victims: number;
  /** Whether each workflow is a gang of two tasks, and not one task. */
  readonly gangs: boolean;
  readonly changesCoordinator: boolean;
  /** Whether guaranteed work takes the room of the other between the cuts. */
  readonly rushes: boolean;
}

/**
 * Six tasks on eight endpoints, of which up to four are cut off at one time, for
 * three seconds longer than the longest lease; the entry returns with the link.
 */
export const USUAL_CUTS: CutPlay = {
  shape: {
    fate: StandIns.OrderFate.Lost,
    healsMs: 9000,
    entryGoesMs: 1500,
    entryBackMs: 9000,
  },
  workers: [2, 2, 2, 2, 2, 2, 2, 2],
  workflows: 6,
  victims: 1,
  gangs: false,
  changesCoordinator: false,
  rushes: false,
};

/** What went wrong in a play; all lists are empty if all is well. */
export interface CutOutcome {
  /** Workflows that are shown as failed. */
  readonly failed: readonly string[];
  /** Workflows that are neither done nor failed at the end. */
  readonly undone: readonly string[];
  /** Runs that break a promise, in words. */
  readonly broken: readonly string[];
}

/** Work under way and the cuts that it meets. */
class Cutting {
  readonly fleet: fleets.TestFleet;
  readonly ids: string[] = [];
  readonly #play: CutPlay;
  readonly #random: randoms.SeededRandom;
  readonly #cuts: cutting.EndpointCuts;

  constructor(play: CutPlay, seed: number) {
    this.#play = play;
    this.#random = new randoms.SeededRandom(seed);
    this.fleet = new fleets.TestFleet({ workers: play.workers, seed });
    this.#cuts = new cutting.EndpointCuts(this.fleet);
    this.fleet.workers.behave = (task) => ({
      runMs: task.startsWith("b") ? RUSH.runMs : RUN_MS,
      fails: false,
    });
    this.fleet.workers.carry = (id) =>
      this.#cuts.fateOf(id) ?? StandIns.OrderFate.Carried;
  }

  async handIn(): Promise<void> {
    const gang = this.#play.gangs ? { count: 2, gang: true } : {};
    const steps = [fleets.buildStep({ estimateMs: RUN_MS, ...gang })];
    const priority = this.#play.rushes ? 2 : 1;
    for (let i = 0; i < this.#play.workflows; i++) {
      await this.#submit("a", { steps, priority });
    }
  }

  async cutAll(): Promise<void> {
    const { changesCoordinator, rushes, victims, shape } = this.#play;
    for (let i = 1; i <= CUTS; i++) {
      const pauseMs = this.#random.between(PAUSE_MS.least, PAUSE_MS.most);
      await this.fleet.clock.advance(pauseMs);
      for (const id of this.#chooseVictims(victims)) {
        this.#cuts.begin(id, shape);
      }
      if (changesCoordinator && i % CUTS_PER_TERM === 0) {
        await this.#replaceCoordinator();
      }
      if (rushes && i % CUTS_PER_RUSH === 0) await this.#rush();
    }
  }

  /** Endpoints on which something runs and which are whole, if there are any. */
  #chooseVictims(count: number): string[] {
    this.fleet.workers.settle();
    const running = this.fleet.workers.runs.filter(({ how }) => how === null);
    const busy = new Set(running.map(({ worker }) => worker));
    const whole = [...busy].filter((id) => !this.#cuts.has(id));
    const chosen: string[] = [];
    while (chosen.length < count && whole.length > 0) {
      const at = this.#random.between(0, whole.length - 1);
      chosen.push(...whole.splice(at, 1));
    }
    return chosen;
  }

  async #replaceCoordinator(): Promise<void> {
    const coordinator = this.fleet.coordinator();
    if (coordinator === null || !this.fleet.nodes.has(coordinator)) return;
    await this.fleet.kill(coordinator);
    this.fleet.startNode(`${coordinator}+`);
  }

  async #rush(): Promise<void> {
    const { runMs: estimateMs, count } = RUSH;
    const steps = [fleets.buildStep({ estimateMs, count })];
    await this.#submit("b", { steps, priority: 0 });
  }

  async #submit(
    kind: string,
    options: { steps: readonly Workflow.StepSpec[]; priority: number },
  ): Promise<void> {
    const id = `${kind}${String(this.ids.length).padStart(15, "0")}`;
    const [name] = this.fleet.nodes.keys();
    await this.fleet.submit(name, id, options);
    this.ids.push(id);
  }
}

/** Plays some seeds of the usual cuts, changed in some parts. */
export async function playCuts(
  changes: Partial<CutPlay>,
  seeds: readonly number[],
): Promise<CutOutcome> {
  const play = { ...USUAL_CUTS, ...changes };
  const outcomes: CutOutcome[] = [];
  for (const seed of seeds) outcomes.push(await playSeed(play, seed));
  return {
    failed: outcomes.flatMap(({ failed }) => failed),
    undone: outcomes.flatMap(({ undone }) => undone),
    broken: outcomes.flatMap(({ broken }) => broken),
  };
}

async function playSeed(play: CutPlay, seed: number): Promise<CutOutcome> {
  const cuts = new Cutting(play, seed);
  const { fleet, ids } = cuts;
  await fleet.start();
  await cuts.handIn();
  await cuts.cutAll();
  const { Completed, Failed } = Workflow.WorkflowState;
  const isFailed = (id: string) => fleet.state(id) === Failed;
  const isOver = (id: string) => isFailed(id) || fleet.state(id) === Completed;
  await fleet.until(() => ids.every(isOver), LIMIT_MS);
  const name = (id: string) => `seed ${seed}: ${id}`;
  const outcome = {
    failed: ids.filter(isFailed).map(name),
    undone: ids.filter((id) => !isOver(id)).map(name),
    broken: checks.findBrokenRuns(fleet).map(name),
  };
  await fleet.stop();
  return outcome;
}
