/** Sends a request to the owner of a cell, here or on a peer. */
import * as Entry from "@cairngate/entry";
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as memberships from "./membership.ts";

/** Adapter of the owner directory to membership and peer links. */
export class OwnerRouter extends Entry.OwnerDirectory {
  readonly #box: string;
  readonly #network: Ports.PeerNetwork;
  readonly #membership: memberships.Membership;
  readonly #local: Ports.PeerHandler;

  constructor(
    options: {
      box: string;
      network: Ports.PeerNetwork;
      membership: memberships.Membership;
      local: Ports.PeerHandler;
    },
  ) {
    super();
    this.#box = options.box;
    this.#network = options.network;
    this.#membership = options.membership;
    this.#local = options.local;
  }

  override ask<A>(
    cell: string,
    req: Types.PeerRequest,
    timeoutMs: number,
  ): Effect.Effect<A, Entry.AskError> {
    const claim = this.#membership.claimOf(cell);
    if (claim === null || claim.holder === "") {
      return Effect.fail(new Errors.NotOwnerError({ cell, epoch: 0 }));
    }
    const reply = claim.holder === this.#box
      ? this.#local(this.#box, req)
      : this.#network.request(claim.holder, req, timeoutMs);
    const { epoch } = claim;
    // A paused owner answers nothing; its heir is asked as soon as it is seen.
    const newer = Effect.flatMap(
      this.#membership.awaitNewerClaim(cell),
      () => Effect.fail(new Errors.NotOwnerError({ cell, epoch })),
    );
    return Effect.raceFirst(
      reply as Effect.Effect<A, Entry.AskError>,
      newer,
    );
  }

  override isWorkerLeaving(worker: string): boolean {
    return this.#membership.isWorkerLeaving(worker);
  }
}
