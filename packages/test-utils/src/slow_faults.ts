/** Faults that are injected during a stop or between stops, one at a time. */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as cuts from "./brief_cuts.ts";
import type * as evacuated from "./evacuations.ts";
import * as randoms from "./seeded_random.ts";
import type * as slowEnds from "./slow_ends.ts";
import type * as fleets from "./test_fleet.ts";

/** Kinds of faults. */
enum Fault {
  /** The coordinator is killed and another box takes over. */
  Takeover,
  /** A caller cancels a workflow. */
  Cancel,
  /** A data centre is evacuated or returned to use. */
  Evacuation,
  /** Some endpoints are cut off for a short time. */
  CutOff,
  /** Connections to all endpoints, or to most, are reset at once. */
  Reset,
  /** An endpoint crashes. */
  Crash,
}

const FAULTS: readonly Fault[] = [
  ...[Fault.Takeover, Fault.Takeover, Fault.Cancel, Fault.Evacuation],
  ...[Fault.CutOff, Fault.CutOff, Fault.CutOff],
  ...[Fault.Reset, Fault.Reset, Fault.Reset, Fault.Crash],
];
/** Kinds of ends that an endpoint causes without an order. */
const SPONTANEOUS_ENDS: readonly Ports.EndKind[] = ["failed", "alone", "alone"];
/** Shares of the endpoints whose connections a reset affects, 0 to 1. */
const RESET_SHARES: readonly number[] = [0.5, 1];
/** Number of orders in flight for which a reset waits. */
const MIN_ORDERS_IN_FLIGHT = 2;
/** Longest wait for orders in flight, in ms. */
const ORDERS_TIMEOUT_MS = 300;
const ORDERS_STEP_MS = 2;
const HOST = "jobs.example";
const KEY = "key-of-hana";

/** A submitted workflow. */
export interface SubmittedWorkflow {
  readonly id: string;
  readonly priority: number;
}

/** Options of SlowFaults. */
export interface SlowFaultsOptions {
  readonly fleet: fleets.TestFleet;
  readonly seed: number;
  readonly cuts: cuts.BriefCuts;
  readonly evacuations: evacuated.Evacuations;
  readonly ends: slowEnds.SlowEnds;
  /** Returns the workflows that may be cancelled. */
  readonly open: () => readonly SubmittedWorkflow[];
}

/** Injects the random faults of one simulation. */
export class SlowFaults {
  readonly #options: SlowFaultsOptions;
  readonly #random: randoms.SeededRandom;

  constructor(options: SlowFaultsOptions) {
    this.#options = options;
    this.#random = new randoms.SeededRandom(options.seed);
  }

  /** Injects one random fault. */
  async inject(): Promise<void> {
    const { fleet, cuts, evacuations, ends } = this.#options;
    switch (this.#random.choose(FAULTS)) {
      case Fault.Takeover:
        return await this.#replaceCoordinator();
      case Fault.Cancel:
        return this.#cancel();
      case Fault.Evacuation:
        return evacuations.change();
      case Fault.CutOff:
        return cuts.inject(ends.endpoints);
      case Fault.Reset:
        return await this.#reset();
      case Fault.Crash: {
        const ids = fleet.workers.listRunning();
        if (ids.length > 0) fleet.workers.crash(this.#random.choose(ids));
      }
    }
  }

  /** Ends a random run without an order, which breaks its gang. */
  breakGang(): void {
    const { workers } = this.#options.fleet;
    workers.update();
    const running = workers.runs.filter(({ how }) => how === null);
    if (running.length === 0) return;
    const { task } = this.#random.choose(running);
    workers.endNow(task, this.#random.choose(SPONTANEOUS_ENDS));
  }

  async #replaceCoordinator(): Promise<void> {
    const { fleet } = this.#options;
    const coordinator = fleet.coordinator();
    if (coordinator === null || !fleet.boxes.has(coordinator)) return;
    await fleet.kill(coordinator);
    fleet.startBox(`${coordinator}+`);
  }

  /** Does not wait for the answer: the simulation advances the time. */
  #cancel(): void {
    const { fleet, open } = this.#options;
    const candidates = open();
    if (candidates.length === 0) return;
    const { id, priority } = this.#random.choose(candidates);
    const at = this.#random.choose([...fleet.boxes.keys()]);
    const { access, submissions } = fleet.box(at);
    const path = `/p${priority}/${id}`;
    const call = Effect.gen(function* () {
      const allowed = yield* access.check({ host: HOST, path, key: KEY });
      yield* submissions.cancel(allowed, id);
    });
    Effect.runFork(Effect.ignoreCause(call));
  }

  /** Resets connections while several orders are in flight, such as those to a gang. */
  async #reset(): Promise<void> {
    const share = this.#random.choose(RESET_SHARES);
    const { clock, workers } = this.#options.fleet;
    for (let ms = 0; ms < ORDERS_TIMEOUT_MS; ms += ORDERS_STEP_MS) {
      if (workers.transit.undeliveredCount >= MIN_ORDERS_IN_FLIGHT) break;
      await clock.advance(ORDERS_STEP_MS);
    }
    const resetIds = new Set(
      workers.listRunning().filter(() => this.#random.next() < share),
    );
    workers.transit.reset((endpoint) => resetIds.has(endpoint));
  }
}
