/**
 * Tracks each team's use of the fleet during a term, while teams compete, and keeps a
 * copy in the store for the next coordinator.
 */
import type * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";
import type * as terms from "../election/term.ts";
import type * as ports from "../ports.ts";
import * as shareReporters from "./share_reporter.ts";
import * as shareRows from "./share_row.ts";

/** Ports that the share tracker uses. */
export type TeamShareTrackerPorts = Pick<
  ports.CoordinatorPorts,
  "clock" | "log" | "metrics" | "store"
>;

/** Input of one update. */
export interface SharesInput {
  readonly teamsCompete: boolean;
  /** Accelerators guaranteed to each team. */
  readonly guarantees: ReadonlyMap<string, number>;
  readonly endpoints: readonly Scheduler.EndpointSnapshot[];
}

/**
 * Interval of writes, in ms: a small part of the half-life, so that a takeover loses
 * little, and far fewer calls than a term makes anyway.
 */
const WRITE_INTERVAL_MS = 2000;
/** Interval of attempts to read the former coordinator's copy, in ms. */
const READ_RETRY_MS = 200;
/** Timeout of a store call, in ms; the next call is due then. */
const CALL_TIMEOUT_MS = 1500;

/** Team shares of one term. */
export class TeamShareTracker {
  readonly #ports: TeamShareTrackerPorts;
  readonly #term: terms.Term;
  readonly #log: shareReporters.ShareReporter;
  #use: Scheduler.TeamAmounts = new Map();
  #shares: Scheduler.TeamShares = new Map();
  #teamsCompete = false;
  #countedAtMs: number;
  /** Whether the former coordinator's copy has been read or found missing. */
  #isRestored = false;
  /** Use as last written to the store. */
  #stored: Scheduler.TeamAmounts | null = null;

  constructor(sharePorts: TeamShareTrackerPorts, term: terms.Term) {
    this.#ports = sharePorts;
    this.#term = term;
    this.#log = new shareReporters.ShareReporter(sharePorts);
    this.#countedAtMs = sharePorts.clock.monotonicMs();
  }

  /** Shares as last computed; empty where teams do not compete. */
  get shares(): Scheduler.TeamShares {
    return this.#shares;
  }

  /** Whether a team has used clearly less than it is entitled to. */
  isBelowShare(team: string): boolean {
    return Scheduler.isBelowShare(this.#shares, team);
  }

  /** Adds the current use to the shares, in one pass over the endpoints. */
  update({ teamsCompete, guarantees, endpoints }: SharesInput): void {
    const nowMs = this.#ports.clock.monotonicMs();
    const elapsedMs = nowMs - this.#countedAtMs;
    this.#countedAtMs = nowMs;
    this.#teamsCompete = teamsCompete;
    if (!teamsCompete) return this.#reset();
    const held = Scheduler.sharesHeld(endpoints);
    this.#use = Scheduler.decayUse(this.#use, held, elapsedMs);
    const weights = Scheduler.weightsOf(guarantees);
    this.#shares = Scheduler.computeShares(weights, this.#use, this.#shares);
    this.#log.update(this.#shares, nowMs);
  }

  /** Counts a run that yields to other work, by its team. */
  noteYield(task: Workflow.Task): void {
    if (!this.#teamsCompete) return;
    const team = task.workflow.spec.tenant;
    this.#ports.metrics.count("cairngate_yields_by_team_total", { team });
  }

  /**
   * Reads the former coordinator's copy, then writes the current use periodically.
   * Never ends.
   */
  run(): Effect.Effect<never> {
    const { clock } = this.#ports;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      if (this.#teamsCompete) {
        yield* this.#isRestored ? this.#write() : this.#restore();
      }
      yield* clock.sleep(this.#isRestored ? WRITE_INTERVAL_MS : READ_RETRY_MS);
    }));
  }

  #reset(): void {
    if (this.#shares.size === 0) return;
    this.#log.update(new Map(), this.#countedAtMs);
    this.#use = new Map();
    this.#shares = new Map();
  }

  /**
   * Reads the former coordinator's copy. Nothing is written before, because that would
   * replace the copy by less.
   */
  #restore(): Effect.Effect<void> {
    const { clock, log, store } = this.#ports;
    const key = TableClient.Keys.TEAM_SHARES_KEY;
    return store.read([key], CALL_TIMEOUT_MS).pipe(
      Effect.map(([row]) => {
        this.#isRestored = true;
        const found = row === undefined
          ? { reason: "there is no row" }
          : shareRows.decodeUse(row.value, clock.wallMs());
        if ("reason" in found) {
          log.info(`Nothing is known of what teams have had: ${found.reason}.`);
        } else this.#addFormerUse(found.use, found.ageMs);
      }),
      Effect.catch((err) =>
        Effect.sync(() =>
          log.info(`What teams have had is not read yet: ${err.message}`)
        )
      ),
    );
  }

  /** Adds the use from before the term to that of the term. */
  #addFormerUse(former: Scheduler.TeamAmounts, ageMs: number): void {
    const decayed = Scheduler.decayUse(former, new Map(), ageMs);
    const sum = new Map(decayed);
    for (const [team, share] of this.#use) {
      sum.set(team, Math.min(1, share + (decayed.get(team) ?? 0)));
    }
    this.#use = sum;
    this.#ports.log.info(
      `Use of ${former.size} teams is taken over, ${Math.round(ageMs)} ms old.`,
    );
  }

  /** Writes the use if it has changed. A lost write is made up for by the next one. */
  #write(): Effect.Effect<void> {
    const { clock, store } = this.#ports;
    const use = this.#use;
    if (use === this.#stored) return Effect.void;
    const value = shareRows.encodeUse(use, clock.wallMs());
    const key = TableClient.Keys.TEAM_SHARES_KEY;
    const write = {
      conditions: [this.#term.condition],
      writes: [{ key, value }],
    };
    return store.write(write, CALL_TIMEOUT_MS).pipe(
      Effect.map(() => {
        this.#stored = use;
      }),
      Effect.ignore,
    );
  }
}
