/**
 * Election of the coordinator through rows of the store. The coordinator row holds the
 * fencing token and changes on takeover only; the holder renews a second row, the
 * lease. A box takes over when neither row has changed for too long.
 */
import type * as Admission from "@cairngate/admission";
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";
import type * as ports from "../ports.ts";
import * as restart from "../restart.ts";
import * as leaseGrants from "./lease_grants.ts";
import * as remainingLeases from "./remaining_leases.ts";
import * as rowWatches from "./row_watch.ts";
import * as termKeepers from "./term_keeper.ts";
import * as storedTokens from "./stored_tokens.ts";
import * as terms from "./term.ts";

/** Interval of checks whether to claim the row, in ms. */
const CHECK_INTERVAL_MS = 50;
/** Timeout of a store call during a takeover, in ms. */
const TAKEOVER_TIMEOUT_MS = 1500;

/** Takes part in the election until interrupted. */
export class Election {
  readonly #ports: ports.CoordinatorPorts;
  readonly #watch: rowWatches.RowWatch;
  readonly #keeper: termKeepers.TermKeeper;
  #term: terms.Term | null = null;
  #isLeaving = false;

  constructor(coordinatorPorts: ports.CoordinatorPorts) {
    this.#ports = coordinatorPorts;
    this.#keeper = new termKeepers.TermKeeper(coordinatorPorts);
    this.#watch = new rowWatches.RowWatch({
      ports: coordinatorPorts,
      onRow: (row) => this.#noteRow(row),
      onRenewal: (atMs) => this.#term?.grants.noteApplied(atMs),
    });
  }

  /** Holder of the row as last seen; null where there is none. */
  get holder(): string | null {
    const { holder } = this.#watch;
    return holder === "" ? null : holder;
  }

  /** Fencing token of the newest term, as last seen; 0 where there is none. */
  get token(): number {
    return this.#watch.token;
  }

  /** Forecast of the holder, as last seen. */
  get forecast(): Admission.KnownForecast {
    return this.#watch.forecast;
  }

  /** Memory use that the holder published last. */
  get memoryUse(): Admission.KnownMemoryUse {
    return this.#watch.memoryUse;
  }

  /** Runs `work` whenever this box is elected, until the term is lost. Never ends. */
  run(work: (term: terms.Term) => Effect.Effect<void>): Effect.Effect<never> {
    const campaign = Effect.gen({ self: this }, function* () {
      yield* this.#ports.clock.sleep(CHECK_INTERVAL_MS);
      if (this.#isLeaving || !this.#watch.mayTakeOver()) return;
      const term = yield* this.#takeOver(this.#watch.token);
      if (term === null) return;
      yield* this.#runTerm(term, work);
    });
    const watch = this.#watch.run(() => this.#term !== null);
    return Effect.raceFirst(watch, Effect.forever(campaign));
  }

  /**
   * Releases the row, so that another box takes over at once, and stops taking part.
   */
  release(): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.#isLeaving = true;
      const term = this.#term;
      if (term === null || term.isLost) return Effect.void;
      return this.#keeper.release(term);
    });
  }

  /** Ends the term if another box has taken the row. */
  #noteRow(row: terms.CoordinatorRow | null): void {
    const token = row?.token ?? 0;
    const term = this.#term;
    const isOther = row?.incarnation !== this.#ports.incarnation;
    if (term !== null && token > term.token && isOther) {
      term.lose(`token ${token} seen`);
    }
  }

  /**
   * Takes over from the holder with the observed token, and from no later one. Returns
   * null where that failed.
   */
  #takeOver(observedToken: number): Effect.Effect<terms.Term | null> {
    return Effect.gen({ self: this }, function* () {
      const { store, box, incarnation, log, clock } = this.#ports;
      // Read first: the watch may see the write below before it is answered.
      const { forecast: inherited } = this.#watch.forecast;
      const { use: inheritedMemoryUse } = this.#watch.memoryUse;
      const key = TableClient.Keys.COORDINATOR_KEY;
      const leaseKey = TableClient.Keys.COORDINATOR_LEASE_KEY;
      const rows = yield* store.read([key, leaseKey], TAKEOVER_TIMEOUT_MS);
      const readAtMs = clock.monotonicMs();
      const row = rows.find((one) => one.key === key);
      const lease = rows.find((one) => one.key === leaseKey);
      const found = storedTokens.decodeCoordinatorRow(row?.value);
      const isOther = (found?.token ?? 0) !== observedToken;
      if (isOther || this.#watch.hasRenewed(found, lease?.value ?? null)) {
        this.#watch.noteFeedBehind();
        return null;
      }
      const token = Math.max(found?.token ?? 0, this.#watch.highestToken) + 1;
      const value: terms.CoordinatorRow = { token, holder: box, incarnation };
      const begunAt = clock.now();
      const revision = yield* store.write({
        conditions: [
          { key, revision: row?.revision ?? 0 },
          { key: leaseKey, revision: lease?.revision ?? 0 },
        ],
        writes: [{ key, value }, { key: leaseKey, value: token }],
      }, TAKEOVER_TIMEOUT_MS);
      log.info(`Box ${box} coordinates under token ${token}.`);
      const { outageReports, metrics } = this.#ports;
      const grants = new leaseGrants.LeaseGrants({
        clock,
        outageReports,
        log,
        metrics,
        token,
        begunAt,
      });
      const leases = found?.holder === ""
        ? remainingLeases.decodeRemainingLeases(found.leases)
        : null;
      return new terms.Term({
        token,
        revision,
        inherited,
        inheritedMemoryUse,
        inheritedLeases: leases === null ? null : { leases, readAtMs },
        grants,
      });
    }).pipe(Effect.catch((err) => {
      this.#ports.log.info(`Taking over failed: ${err.message}`);
      this.#watch.resetSilence();
      return Effect.succeed(null);
    }));
  }

  #runTerm(
    term: terms.Term,
    work: (term: terms.Term) => Effect.Effect<void>,
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#term = term;
      const loss = Effect.map(term.awaitLoss(), (how) => {
        this.#ports.log.info(`Token ${term.token} is lost: ${how}.`);
      });
      const guarded = Effect.catchDefect(
        work(term),
        (defect) => this.#failTerm(term, defect),
      );
      const upkeep = Effect.raceFirst(
        this.#keeper.keepRenewing(term),
        this.#keeper.moveToFitter(term),
      );
      const workAndUpkeep = Effect.raceFirst(guarded, upkeep);
      yield* Effect.raceFirst(workAndUpkeep, loss);
      term.lose("the work ended");
      this.#watch.noteToken(term.laterToken);
      this.#term = null;
      this.#watch.startSilence();
    });
  }

  /** Ends the term after a defect in the coordinator; another box may succeed. */
  #failTerm(term: terms.Term, defect: unknown): Effect.Effect<void> {
    return Effect.sync(() => {
      const { log, metrics } = this.#ports;
      log.error(`The coordinator failed: ${restart.describeDefect(defect)}`);
      metrics.count("cairngate_defects_total", { what: "Coordinating" });
      term.lose("the coordinator failed");
    });
  }
}
