/** What strikes in the middle of a stop, or between two: one thing at a time. */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as cuts from "./brief_cuts.ts";
import type * as evacuated from "./evacuations.ts";
import * as randoms from "./seeded_random.ts";
import type * as slowEnds from "./slow_ends.ts";
import type * as fleets from "./test_fleet.ts";

/** Each of them, as often as it is drawn. */
enum Fault {
  /** The coordinator ends; another box takes over. */
  Takeover,
  /** A caller cancels a workflow. */
  Cancel,
  /** A data centre is evacuated, or taken back. */
  Evacuation,
  /** Some endpoints are cut off for a moment. */
  CutOff,
  /** Connections to all endpoints, or to most, are reset at once. */
  Reset,
  /** An endpoint ends. */
  Crash,
}

const FAULTS: readonly Fault[] = [
  ...[Fault.Takeover, Fault.Takeover, Fault.Cancel, Fault.Evacuation],
  ...[Fault.CutOff, Fault.CutOff, Fault.CutOff],
  ...[Fault.Reset, Fault.Reset, Fault.Reset, Fault.Crash],
];
/** Ends that an endpoint brings about for reasons of its own. */
const OWN_ENDS: readonly Ports.EndKind[] = ["failed", "alone", "alone"];
/** Shares of the endpoints whose connections a reset strikes, 0 to 1. */
const RESET_SHARES: readonly number[] = [0.5, 1];
/** Orders on their way for which a reset waits, and how long it does, in ms. */
const ORDERS_TO_STRIKE = 2;
/** Longest wait for orders that are on their way, in ms, and its steps. */
const AWAIT_ORDERS_MS = 300;
const ORDERS_STEP_MS = 2;
const HOST = "jobs.example";
const KEY = "key-of-hana";

/** A workflow that was handed in. */
export interface HandedIn {
  readonly id: string;
  readonly priority: number;
}

/** What the faults of a play work with. */
export interface SlowFaultsOptions {
  readonly fleet: fleets.TestFleet;
  readonly seed: number;
  readonly cuts: cuts.BriefCuts;
  readonly evacuations: evacuated.Evacuations;
  readonly ends: slowEnds.SlowEnds;
  /** Workflows that may be cancelled. */
  readonly open: () => readonly HandedIn[];
}

/** Draws and does them. */
export class SlowFaults {
  readonly #options: SlowFaultsOptions;
  readonly #random: randoms.SeededRandom;

  constructor(options: SlowFaultsOptions) {
    this.#options = options;
    this.#random = new randoms.SeededRandom(options.seed);
  }

  /** One of them strikes. */
  async strike(): Promise<void> {
    const { fleet, cuts, evacuations, ends } = this.#options;
    switch (this.#random.choose(FAULTS)) {
      case Fault.Takeover:
        return await this.#replaceCoordinator();
      case Fault.Cancel:
        return this.#cancel();
      case Fault.Evacuation:
        return evacuations.change();
      case Fault.CutOff:
        return cuts.strike(ends.endpoints);
      case Fault.Reset:
        return await this.#reset();
      case Fault.Crash: {
        const lives = fleet.workers.listLives();
        if (lives.length > 0) fleet.workers.crash(this.#random.choose(lives));
      }
    }
  }

  /** A run ends by itself, so that its gang breaks. */
  breakGang(): void {
    const { workers } = this.#options.fleet;
    workers.settle();
    const running = workers.runs.filter(({ how }) => how === null);
    if (running.length === 0) return;
    const { task } = this.#random.choose(running);
    workers.endNow(task, this.#random.choose(OWN_ENDS));
  }

  async #replaceCoordinator(): Promise<void> {
    const { fleet } = this.#options;
    const coordinator = fleet.coordinator();
    if (coordinator === null || !fleet.nodes.has(coordinator)) return;
    await fleet.kill(coordinator);
    fleet.startNode(`${coordinator}+`);
  }

  /** Nobody waits for the answer: time moves on with the play. */
  #cancel(): void {
    const { fleet, open } = this.#options;
    const candidates = open();
    if (candidates.length === 0) return;
    const { id, priority } = this.#random.choose(candidates);
    const at = this.#random.choose([...fleet.nodes.keys()]);
    const { access, submissions } = fleet.node(at);
    const path = `/p${priority}/${id}`;
    const call = Effect.gen(function* () {
      const allowed = yield* access.check({ host: HOST, path, key: KEY });
      yield* submissions.cancel(allowed, id);
    });
    Effect.runFork(Effect.ignoreCause(call));
  }

  /** While several orders are on their way, as those to a gang leave together. */
  async #reset(): Promise<void> {
    const share = this.#random.choose(RESET_SHARES);
    const { clock, workers } = this.#options.fleet;
    for (let ms = 0; ms < AWAIT_ORDERS_MS; ms += ORDERS_STEP_MS) {
      if (workers.ways.leftCount >= ORDERS_TO_STRIKE) break;
      await clock.advance(ORDERS_STEP_MS);
    }
    const struck = new Set(
      workers.listLives().filter(() => this.#random.next() < share),
    );
    workers.ways.reset((endpoint) => struck.has(endpoint));
  }
}
