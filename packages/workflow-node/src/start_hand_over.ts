/**
 * Hands revoked starts over to the coordinator, which may be on this box, and adopts
 * those that other boxes hand over while the coordinator is on this box.
 */
import type * as Coordinator from "@cairngate/coordinator";
import type * as Logger from "@cairngate/logger";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Dependencies of {@link StartHandOver}. */
export interface StartHandOverOptions {
  readonly peers: Ports.StorePeers;
  readonly log: Logger.Logger;
  /** Lists the other boxes. */
  readonly otherBoxes: () => readonly Ports.StorePeer[];
  /** Name of the box that coordinates, as last seen; null if there is none. */
  readonly coordinatingBox: () => string | null;
  /** Coordinator on this box; null while it is on another one. */
  readonly coordinator: () => Coordinator.Coordinator | null;
}

/** A call that hands starts over to the coordinator. */
export type HandOverCall = Extract<
  Ports.StoreCall,
  { readonly kind: Ports.StoreCallKind.HandOverStarts }
>;

/** Timeout of a call to the coordinator, in ms. */
const HAND_OVER_TIMEOUT_MS = 400;

/** Hands revoked starts over from box to box. */
export class StartHandOver {
  readonly #options: StartHandOverOptions;

  constructor(options: StartHandOverOptions) {
    this.#options = options;
  }

  /** Adopts the starts of a call, unless it is meant for another term. */
  accept({ fencingToken, starts }: HandOverCall): Ports.StoreReply {
    const coordinator = this.#options.coordinator();
    if (coordinator?.token !== fencingToken) {
      return refuse(`it does not coordinate under token ${fencingToken}`);
    }
    // The sender goes on sending stops until all endpoints are known here.
    return coordinator.adoptRevokedStarts(starts)
      ? { outcome: Ports.StoreOutcome.Done, value: null }
      : refuse("it does not know all of these endpoints");
  }

  /** Hands starts over to the coordinator with this token; returns whether it did. */
  send(
    fencingToken: number,
    starts: readonly Ports.RevokedStart[],
  ): Effect.Effect<boolean> {
    const { peers, log, otherBoxes, coordinatingBox, coordinator } =
      this.#options;
    const kind = Ports.StoreCallKind.HandOverStarts;
    const call: HandOverCall = { kind, fencingToken, starts };
    if (coordinator()?.token === fencingToken) {
      return Effect.succeed(isDone(this.accept(call)));
    }
    const name = coordinatingBox();
    const box = otherBoxes().find(({ node }) => node === name);
    if (box === undefined) return Effect.succeed(false);
    return peers.call(box, call, HAND_OVER_TIMEOUT_MS).pipe(
      Effect.map(isDone),
      Effect.catch((err) =>
        Effect.sync(() => {
          log.debug(`Box ${box.node} took over no starts: ${err.message}`);
          return false;
        })
      ),
    );
  }
}

function refuse(value: string): Ports.StoreReply {
  return { outcome: Ports.StoreOutcome.Unavailable, value };
}

function isDone({ outcome }: Ports.StoreReply): boolean {
  return outcome === Ports.StoreOutcome.Done;
}
