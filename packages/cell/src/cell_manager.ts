/** Takes over a cell without a live owner and owns it until it is lost. */
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";
import * as crypto from "node:crypto";
import * as owners from "./cell_owner.ts";
import * as leases from "./owner_lease.ts";
import type * as ports from "./ports.ts";

const POLL_INTERVAL_MS = 250;
/** Each takeover candidate waits this much longer than the one ranked before it. */
const CANDIDATE_DELAY_MS = 250;
const RETRY_MS = 200;

/** Monitors one cell and takes it over when it has no live owner. */
export class CellManager {
  readonly cell: string;
  readonly #ports: ports.CellPorts;
  #owner: owners.CellOwner | null = null;
  #isLeaving = false;
  #leaseRevision = 0;
  #leaseChangedAtMs: number;

  constructor(cellPorts: ports.CellPorts, cell: string) {
    this.cell = cell;
    this.#ports = cellPorts;
    this.#leaseChangedAtMs = cellPorts.clock.monotonicMs();
  }

  /** The owner object while this box owns the cell, else null. */
  get owner(): owners.CellOwner | null {
    return this.#owner;
  }

  /** Monitors the cell until interrupted. */
  run(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const config = this.#ports.config();
        const wanted = config !== null && !this.#isLeaving &&
          (yield* this.#isVacant());
        if (wanted && (yield* this.#isVacantAfterDelay())) {
          yield* this.#takeOver(config);
        }
        yield* this.#ports.clock.sleep(POLL_INTERVAL_MS);
      }
    });
  }

  /** Hands the cell over and never takes it again. */
  leave(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#isLeaving = true;
      if (this.#owner !== null) yield* this.#owner.handOver();
    });
  }

  #takeOver(config: ports.ConfigInForce): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { log, metrics, view, box } = this.#ports;
      const acquired = yield* Effect.result(
        leases.OwnerLease.acquire(this.#ports, this.cell),
      );
      if (acquired._tag === "Failure") {
        log.debug(
          `Cell ${this.cell} was not acquired: ${acquired.failure.message}`,
        );
        return yield* this.#ports.clock.sleep(RETRY_MS);
      }
      const lease = acquired.success;
      metrics.count("cairngate_takeovers_total", { cell: this.cell });
      view.noteClaim({ cell: this.cell, epoch: lease.epoch, holder: box });
      this.#owner = yield* owners.CellOwner.create(this.#ports, lease, config);
      view.announce();
      const reason = yield* Effect.ensuring(
        this.#owner.run(),
        Effect.sync(() => (this.#owner = null)),
      );
      this.#leaseChangedAtMs = this.#ports.clock.monotonicMs();
      log.warn(`Cell ${this.cell} is no longer owned: ${reason}.`);
    });
  }

  /** Waits by rank, so that candidates don't write all at once, and checks again. */
  #isVacantAfterDelay(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const rank = this.#rank();
      if (rank === 0) return true;
      yield* this.#ports.clock.sleep(rank * CANDIDATE_DELAY_MS);
      return !this.#isLeaving && (yield* this.#isVacant());
    });
  }

  /**
   * Whether the cell has no owner, or one without recent heartbeats at any
   * live box. An unreadable owner row counts as occupied.
   */
  #isVacant(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { view, box } = this.#ports;
      const claim = view.claimOf(this.cell);
      const isOwnerAlive = claim !== null && claim.holder !== box &&
        !view.isLeaving(claim.holder) && view.isAliveAnywhere(claim.holder);
      if (isOwnerAlive) return false;
      const row = yield* this.#readRow();
      if (row === "unknown") return false;
      if (row === null || row.holder === "") return true;
      const { epoch, holder } = row;
      view.noteClaim({ cell: this.cell, epoch, holder });
      // The holder is an earlier process of this box: this process owns nothing now.
      if (holder === box) return true;
      if (view.isAliveAnywhere(holder)) return false;
      return view.livePeers().length > 0 || this.#isLeaseExpired();
    });
  }

  /**
   * Whether the lease row has not changed for the duration of a lease. Without
   * live peers, missing heartbeats may be this box's own network fault; a live
   * owner would still renew its lease in the store.
   */
  #isLeaseExpired(): boolean {
    const { clock, times } = this.#ports;
    return clock.monotonicMs() - this.#leaseChangedAtMs > times.ownerLeaseMs;
  }

  #readRow(): Effect.Effect<leases.OwnerRow | null | "unknown"> {
    return Effect.gen({ self: this }, function* () {
      const { store, clock } = this.#ports;
      const keys = [
        TableClient.Keys.ownerKey(this.cell),
        TableClient.Keys.leaseKey(this.cell),
      ];
      const rows = yield* Effect.result(store.read(keys, RETRY_MS));
      if (rows._tag === "Failure") return "unknown" as const;
      const lease = rows.success.find((row) => row.key === keys[1]);
      if ((lease?.revision ?? 0) !== this.#leaseRevision) {
        this.#leaseRevision = lease?.revision ?? 0;
        this.#leaseChangedAtMs = clock.monotonicMs();
      }
      const owner = rows.success.find((row) => row.key === keys[0]);
      return (owner?.value as leases.OwnerRow | undefined) ?? null;
    });
  }

  /** Rank of this box among the takeover candidates, by rendezvous hashing. */
  #rank(): number {
    const { box, view } = this.#ports;
    const own = rendezvousWeight(this.cell, box);
    const ahead = view.livePeers().filter((peer) => {
      const weight = rendezvousWeight(this.cell, peer);
      return weight > own;
    });
    return ahead.length;
  }
}

function rendezvousWeight(cell: string, box: string): string {
  return crypto.createHash("sha256").update(`${cell}\n${box}`).digest("hex");
}
