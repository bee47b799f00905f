/** Routes requests to the owner of a cell, on this box or a peer. */
import * as Entry from "@cairngate/entry";
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as memberships from "./membership.ts";

/** Owner directory based on the membership and the peer network. */
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

  override request<A>(
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
    // A paused owner does not answer: a claim of a new owner ends the wait, so
    // that the caller can retry there.
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
