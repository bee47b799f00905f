/** Renews the election's lease while a term lasts, and hands the term over. */
import * as Effect from "effect/Effect";
import type * as ports from "../ports.ts";
import * as renewals from "./term_renewal.ts";
import type * as terms from "./term.ts";

/** Interval of renewals, in ms: a loss is noticed after three of them. */
const RENEW_INTERVAL_MS = 350;
/** Interval of checks for a fitter box, in ms. */
const FITTER_CHECK_MS = 1000;
/** Timeout of a release, in ms. */
const RELEASE_TIMEOUT_MS = 1500;

/** Keeps the terms of this box. */
export class TermKeeper {
  readonly #ports: ports.CoordinatorPorts;

  constructor(coordinatorPorts: ports.CoordinatorPorts) {
    this.#ports = coordinatorPorts;
  }

  /** Renews the lease until interrupted; the term is lost where the row has changed. */
  keepRenewing(term: terms.Term): Effect.Effect<never> {
    const { clock, store } = this.#ports;
    const renewal = new renewals.TermRenewal(this.#ports, term);
    const pause = Effect.raceFirst(
      clock.sleep(RENEW_INTERVAL_MS),
      store.awaitRecovery(),
    );
    return Effect.forever(
      Effect.andThen(renewal.renew(RENEW_INTERVAL_MS), pause),
    );
  }

  /** Hands the term to a fitter box once there is one. */
  moveToFitter(term: terms.Term): Effect.Effect<never> {
    const { clock, fitness } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* clock.sleep(FITTER_CHECK_MS);
        if (!fitness.hasFitterBox()) continue;
        const fitter = yield* fitness.findFitterBox();
        if (fitter === null || term.isLost) continue;
        yield* this.#writeRelease(term, fitter);
        term.lose(`handed to ${fitter}`);
      }
    });
  }

  /** Ends the term and releases the row, so that another box takes over at once. */
  release(term: terms.Term): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const successor = yield* this.#ports.fitness.findSuccessor();
      if (term.isLost) return;
      term.lose("released");
      yield* this.#writeRelease(term, successor);
    });
  }

  #writeRelease(
    term: terms.Term,
    successor: string | null,
  ): Effect.Effect<void> {
    const { incarnation, store, log } = this.#ports;
    const { token, condition, condition: { key } } = term;
    // Another box takes a released row at once, before this one gets an answer.
    term.grants.end();
    const leases = term.listRemainingLeases();
    const value: terms.CoordinatorRow = {
      token,
      holder: "",
      incarnation,
      ...(successor === null ? {} : { successor }),
      ...(leases === null ? {} : { leases }),
    };
    const write = { conditions: [condition], writes: [{ key, value }] };
    return Effect.andThen(
      Effect.ignore(store.write(write, RELEASE_TIMEOUT_MS)),
      Effect.sync(() => {
        log.info(`Token ${token} is released to ${successor ?? "any box"}.`);
      }),
    );
  }
}
