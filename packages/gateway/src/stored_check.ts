/** Finds out whether an earlier request has stored a workflow, before a rejection. */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as recentWrites from "./recent_writes.ts";
import type * as workflowRows from "./workflow_rows.ts";

/** Whether a workflow is stored, as far as is known. */
export enum Presence {
  Stored = "stored",
  Absent = "absent",
  Unknown = "unknown",
}

/** Dependencies of StoredCheck. */
export interface StoredCheckOptions {
  readonly rows: workflowRows.WorkflowRows;
  readonly clock: Ports.Clock;
  readonly writes: recentWrites.RecentWrites;
}

/** Timeout of a lookup, in ms: enough of the caller's time is left for a write. */
const LOOKUP_TIMEOUT_MS = 300;
/**
 * Maximum number of concurrent lookups of `findLimited`. Each reads all partitions, and
 * floods of submissions cause very many.
 */
const MAX_LIMITED_LOOKUPS = 8;

/** Looks workflows up in the store. */
export class StoredCheck {
  readonly #options: StoredCheckOptions;
  #limitedLookups = 0;

  constructor(options: StoredCheckOptions) {
    this.#options = options;
  }

  /** Looks a workflow up within a time limit. */
  find(id: string): Effect.Effect<Presence> {
    const { rows, clock, writes } = this.#options;
    const lookup = rows.lookUp(id, LOOKUP_TIMEOUT_MS);
    return Effect.map(clock.within(LOOKUP_TIMEOUT_MS, lookup), (timed) => {
      if (timed === null) return Presence.Unknown;
      const { copies, failure } = timed.value;
      if (copies.length > 0) return Presence.Stored;
      const isAbsent = failure === null && !writes.mayBeStored(id);
      return isAbsent ? Presence.Absent : Presence.Unknown;
    });
  }

  /** Does the same, unless too many lookups are under way: then it is unknown. */
  findLimited(id: string): Effect.Effect<Presence> {
    return Effect.suspend(() => {
      if (this.#limitedLookups >= MAX_LIMITED_LOOKUPS) {
        return Effect.succeed(Presence.Unknown);
      }
      this.#limitedLookups++;
      const end = Effect.sync(() => {
        this.#limitedLookups--;
      });
      return Effect.ensuring(this.find(id), end);
    });
  }
}
