/**
 * Ownership of a cell. The owner row holds the epoch, which serves as the
 * fencing token. The row changes only when a cell is taken over or released.
 * Every store write of an owner has the row's revision as a condition, and
 * every order to a worker carries the epoch, so that the store and the workers
 * reject requests of an earlier owner. The holder checks its lease before it acts.
 */
import type * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as ports from "./ports.ts";

/** Value of the owner row. The holder is empty after a release. */
export interface OwnerRow {
  readonly epoch: number;
  readonly holder: string;
}

/** Outcome of a lease renewal. */
export enum Renewal {
  Renewed = "renewed",
  /**
   * The store is unreachable. The owner continues without a renewed lease: a
   * takeover also needs a write to the store.
   */
  Holdover = "holdover",
  Lost = "lost",
}

const RENEWALS_PER_LEASE = 3;

/** The lease of one cell under one epoch. */
export class OwnerLease {
  readonly cell: string;
  readonly epoch: number;
  /** Revision of the owner row; a condition of every write of the owner. */
  readonly condition: Ports.RowCondition;
  readonly #ports: ports.CellPorts;
  readonly #lost = Deferred.makeUnsafe<string>();
  #expiresAtMs: number;
  #holdover = false;

  private constructor(
    cellPorts: ports.CellPorts,
    acquired: {
      cell: string;
      epoch: number;
      revision: number;
      expiresAtMs: number;
    },
  ) {
    this.#ports = cellPorts;
    this.cell = acquired.cell;
    this.epoch = acquired.epoch;
    const key = TableClient.Keys.ownerKey(acquired.cell);
    this.condition = { key, revision: acquired.revision };
    this.#expiresAtMs = acquired.expiresAtMs;
  }

  /** Acquires a cell by raising its epoch; fails if another box was first. */
  static acquire(
    cellPorts: ports.CellPorts,
    cell: string,
  ): Effect.Effect<
    OwnerLease,
    Errors.ConditionFailedError | Errors.StoreUnavailableError
  > {
    return Effect.gen(function* () {
      const { store, clock, times, box } = cellPorts;
      const key = TableClient.Keys.ownerKey(cell);
      const [row] = yield* store.read([key]);
      const epoch = ((row?.value as OwnerRow | undefined)?.epoch ?? 0) + 1;
      const value: OwnerRow = { epoch, holder: box };
      const startMs = clock.monotonicMs();
      const revision = yield* store.write({
        conditions: [{ key, revision: row?.revision ?? 0 }],
        writes: [{ key, value }],
      });
      const expiresAtMs = startMs + times.ownerLeaseMs;
      return new OwnerLease(cellPorts, { cell, epoch, revision, expiresAtMs });
    });
  }

  /** Whether the store was unreachable at the last renewal. */
  get isHoldover(): boolean {
    return this.#holdover;
  }

  /** Waits until a higher epoch is observed; returns which one and where. */
  awaitLoss(): Effect.Effect<string> {
    return Deferred.await(this.#lost);
  }

  /** Whether a higher epoch has been observed. */
  get isLost(): boolean {
    return Deferred.isDoneUnsafe(this.#lost);
  }

  /** Records an observed epoch; a higher one ends this ownership. */
  noteEpoch(epoch: number, where: string): void {
    if (epoch <= this.epoch) return;
    Deferred.doneUnsafe(
      this.#lost,
      Effect.succeed(`superseded by epoch ${epoch} (${where})`),
    );
  }

  /**
   * Whether the holder may act now. If the lease has expired, for instance
   * because the process was paused, it is renewed first.
   */
  check(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      if (this.isLost) return false;
      const nowMs = this.#ports.clock.monotonicMs();
      if (nowMs < this.#expiresAtMs) return true;
      return (yield* this.renew()) !== Renewal.Lost;
    });
  }

  /** Renews the lease periodically until it is lost. */
  keepRenewing(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { clock, times } = this.#ports;
      while (!this.isLost) {
        yield* clock.sleep(times.ownerLeaseMs / RENEWALS_PER_LEASE);
        yield* this.renew();
      }
    });
  }

  /** Writes the lease row, on condition that the owner row is unchanged. */
  renew(): Effect.Effect<Renewal> {
    return Effect.gen({ self: this }, function* () {
      const { store, clock, times, box } = this.#ports;
      const claim = this.#ports.view.claimOf(this.cell);
      if (claim !== null) this.noteEpoch(claim.epoch, `box ${claim.holder}`);
      if (this.isLost) return Renewal.Lost;
      const startMs = clock.monotonicMs();
      const key = TableClient.Keys.leaseKey(this.cell);
      const value = { epoch: this.epoch, holder: box };
      const write = { conditions: [this.condition], writes: [{ key, value }] };
      const written = store.write(write, times.ownerLeaseMs / 2);
      const renewal = yield* Effect.catchTags(
        Effect.as(written, Renewal.Renewed),
        {
          ConditionFailedError: () => Effect.succeed(Renewal.Lost),
          StoreUnavailableError: () => Effect.succeed(Renewal.Holdover),
        },
      );
      this.#applyRenewal(renewal, startMs);
      return renewal;
    });
  }

  /** Releases the cell, so that another box can take it over at once. */
  release(): Effect.Effect<void> {
    const value: OwnerRow = { epoch: this.epoch, holder: "" };
    const { key } = this.condition;
    const write = { conditions: [this.condition], writes: [{ key, value }] };
    return Effect.ignore(this.#ports.store.write(write));
  }

  #applyRenewal(renewal: Renewal, startMs: number): void {
    const { times, log } = this.#ports;
    if (renewal === Renewal.Renewed) {
      if (this.#holdover) log.info(`Cell ${this.cell}: the store is back.`);
      this.#holdover = false;
      this.#expiresAtMs = startMs + times.ownerLeaseMs;
      return;
    }
    if (renewal === Renewal.Holdover) {
      if (!this.#holdover) {
        log.warn(`Cell ${this.cell}: the store is away, holding over.`);
      }
      this.#holdover = true;
      return;
    }
    this.noteEpoch(this.epoch + 1, "owner row");
  }
}
