/**
 * Tells other boxes which starts this coordinator has revoked, so that they can guard
 * endpoints against these starts while there is no coordinator.
 */
import type * as Coordinator from "@cairngate/coordinator";
import type * as Logger from "@cairngate/logger";
import * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Dependencies of {@link StandbyGuardRequests}. */
export interface StandbyGuardRequestsOptions {
  readonly clock: Ports.Clock;
  readonly peers: Ports.StorePeers;
  readonly log: Logger.Logger;
  /** Lists the other boxes. */
  readonly otherBoxes: () => readonly Ports.StorePeer[];
  /** Coordinator on this box; null while it is on another one. */
  readonly coordinator: () => Coordinator.Coordinator | null;
}

/** Interval of the calls to each guarding box, in ms; see `standby_start_guard.ts`. */
export const REQUEST_INTERVAL_MS = 200;
/** Shortest time between two calls to one box, in ms; bounds the calls of a burst. */
const MIN_REQUEST_INTERVAL_MS = 10;
/** Timeout of one call, in ms. */
const REQUEST_TIMEOUT_MS = 400;
/** Number of guarding boxes: one of them may be lost with the coordinator. */
const GUARDING_BOXES = 2;
/**
 * Time in ms for which a box that did not answer is not chosen. Boxes that have ended
 * are listed for some seconds.
 */
const UNREACHABLE_MS = 2000;
/** Maximum number of starts in one call, those that expire last. */
const MAX_STARTS = 50;

/** The starts that a box has confirmed. */
interface ConfirmedStarts {
  readonly token: number;
  readonly names: string;
}

/** Asks other boxes to guard against revoked starts while this box coordinates. */
export class StandbyGuardRequests {
  readonly #options: StandbyGuardRequestsOptions;
  /** Confirmed starts by the name of the guarding box. */
  readonly #confirmed = new Map<string, ConfirmedStarts>();
  /** Time of the last call without an answer by the name of the box, in ms. */
  readonly #unansweredAtMs = new Map<string, number>();

  /** Completes when the revoked starts may have changed. */
  #changed = Deferred.makeUnsafe<void>();

  constructor(options: StandbyGuardRequestsOptions) {
    this.#options = options;
  }

  /**
   * Sends the revoked starts at once: this box may be suspended or lost before the next
   * regular call.
   */
  requestSoon(): void {
    Deferred.doneUnsafe(this.#changed, Effect.void);
  }

  /** Sends the revoked starts, and repeated calls while there are some. Never ends. */
  run(): Effect.Effect<never> {
    const { clock } = this.#options;
    const waitMs = REQUEST_INTERVAL_MS - MIN_REQUEST_INTERVAL_MS;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      this.#changed = Deferred.makeUnsafe<void>();
      this.#requestAll();
      yield* clock.sleep(MIN_REQUEST_INTERVAL_MS);
      yield* clock.within(waitMs, Deferred.await(this.#changed));
    }));
  }

  #requestAll(): void {
    const coordinator = this.#options.coordinator();
    if (coordinator === null) return this.#confirmed.clear();
    const starts = [...coordinator.revokedStarts]
      .sort((a, b) => b.expiresInMs - a.expiresInMs)
      .slice(0, MAX_STARTS);
    for (const box of this.#chooseBoxes()) {
      // An empty list ends the guard of a box that has starts.
      if (starts.length === 0 && !this.#confirmed.has(box.node)) continue;
      Effect.runFork(this.#request(box, coordinator.token, starts));
    }
  }

  /** Chooses by name, so that the same boxes are called as long as they answer. */
  #chooseBoxes(): readonly Ports.StorePeer[] {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [name, atMs] of this.#unansweredAtMs) {
      if (nowMs - atMs > UNREACHABLE_MS) this.#unansweredAtMs.delete(name);
    }
    return this.#options.otherBoxes()
      .filter(({ node }) => !this.#unansweredAtMs.has(node))
      .sort((a, b) => a.node < b.node ? -1 : 1)
      .slice(0, GUARDING_BOXES);
  }

  #request(
    box: Ports.StorePeer,
    token: number,
    starts: readonly Ports.RevokedStart[],
  ): Effect.Effect<void> {
    const { clock, peers, log } = this.#options;
    const names = starts.map(({ task, run }) => `${task}@${run}`).join();
    const confirmed = this.#confirmed.get(box.node);
    const isConfirmed = confirmed?.token === token && confirmed.names === names;
    const call = {
      kind: Ports.StoreCallKind.GuardStarts,
      fencingToken: token,
      starts: isConfirmed ? null : starts,
    } as const;
    return peers.call(box, call, REQUEST_TIMEOUT_MS).pipe(
      Effect.map(({ outcome }) => {
        const isDone = outcome === Ports.StoreOutcome.Done;
        if (!isDone || starts.length === 0) this.#confirmed.delete(box.node);
        else this.#confirmed.set(box.node, { token, names });
      }),
      Effect.catch((err) =>
        Effect.sync(() => {
          this.#unansweredAtMs.set(box.node, clock.monotonicMs());
          if (!this.#confirmed.delete(box.node)) return;
          log.info(`Box ${box.node} does not guard starts: ${err.message}`);
        })
      ),
    );
  }
}
