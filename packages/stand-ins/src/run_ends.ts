/**
 * Ends of the runs on stand-in endpoints: on their own, by order, or with their gang.
 */
import type * as Ports from "@cairngate/ports";
import * as heldRuns from "./held_run.ts";
import type * as registries from "./incarnation_registry.ts";
import type * as runRecords from "./run_record.ts";
import * as incarnations from "./incarnation.ts";

/** Delays of ends; tests may change them. */
export interface EndTimes {
  /** Time from the answer to a stop to the end of the run, in ms. */
  readonly stopDelayMs: (task: string) => number;
  /** Time from the first end in a gang to that of another member, in ms. */
  readonly gangEndDelayMs: (task: string) => number;
}

/** Options of RunEnds. */
export interface RunEndsOptions {
  readonly clock: Ports.Clock;
  readonly registry: registries.IncarnationRegistry;
  readonly times: EndTimes;
}

/** An end and its delay. */
interface DelayedEnd {
  readonly how: "stopped" | "broken";
  readonly fromMs: number;
  readonly afterMs: number;
}

/** Ends of the runs of one test. */
export class RunEnds {
  readonly #options: RunEndsOptions;
  /** Tasks of each gang, by member. */
  readonly #gangs = new Map<string, readonly string[]>();

  constructor(options: RunEndsOptions) {
    this.#options = options;
  }

  /** Registers a gang, whose runs of the same number end together. */
  addGang(tasks: readonly string[]): void {
    for (const task of tasks) this.#gangs.set(task, tasks);
  }

  /** Returns all tasks of the task's gang, or only the task if it is in no gang. */
  gangOf(task: string): readonly string[] {
    return this.#gangs.get(task) ?? [task];
  }

  /** Updates the runs of an incarnation to the current time. */
  advance(host: incarnations.Incarnation): void {
    const nowMs = this.#nowMs();
    if (nowMs > host.leaseUntilMs) host.leaseExpiredAtMs = host.leaseUntilMs;
    for (const held of [...host.held.values()]) {
      const end = heldRuns.findEnd(held, nowMs, host.leaseUntilMs);
      if (end !== null) this.#end(host, held, end.how, end.atMs);
    }
  }

  /** Stops a run, which ends after its delay. */
  stop(incarnation: incarnations.Incarnation, held: heldRuns.HeldRun): void {
    const afterMs = this.#options.times.stopDelayMs(held.record.task);
    const fromMs = this.#nowMs();
    this.#endLater(incarnation, held, { how: "stopped", fromMs, afterMs });
  }

  /** Ends the runs of a task now, as an endpoint does without an order. */
  endNow(task: string, how: Ports.EndKind): void {
    for (const incarnation of this.#options.registry.all) {
      const held = [...incarnation.held.values()].find(({ record }) =>
        record.task === task
      );
      if (held !== undefined) this.#end(incarnation, held, how);
    }
  }

  /** Ends all runs of a crashed incarnation. */
  crash(incarnation: incarnations.Incarnation): void {
    for (const { record } of incarnation.held.values()) {
      record.endedAtMs = this.#nowMs();
      record.how = "crashed";
    }
    for (const { record } of incarnation.held.values()) this.#endGang(record);
    // A timer may still update this incarnation; its runs must not end twice.
    incarnation.held.clear();
  }

  #end(
    incarnation: incarnations.Incarnation,
    held: heldRuns.HeldRun,
    how: Ports.EndKind,
    atMs = this.#nowMs(),
  ): void {
    const { record } = held;
    incarnation.held.delete(incarnations.keyOf(record));
    incarnations.markOver(incarnation, record);
    record.endedAtMs = atMs;
    record.how = how;
    incarnation.ended.push({ number: incarnation.nextEndNumber++, record });
    this.#endGang(record);
  }

  /** Ends a run after a delay, during which it keeps its accelerator. */
  #endLater(
    incarnation: incarnations.Incarnation,
    held: heldRuns.HeldRun,
    { how, fromMs, afterMs }: DelayedEnd,
  ): void {
    if (afterMs === 0) return this.#end(incarnation, held, how, fromMs);
    heldRuns.requestEnd(held, { how, atMs: fromMs + afterMs });
  }

  /** Ends the other members of a gang's run with the first one or soon after it. */
  #endGang({ task, run, how, endedAtMs }: runRecords.TaskRunRecord): void {
    const others = this.#gangs.get(task) ?? [];
    const fromMs = endedAtMs ?? this.#nowMs();
    for (const other of others) {
      for (const incarnation of this.#options.registry.all) {
        const held = incarnation.held.get(
          incarnations.keyOf({ task: other, run }),
        );
        if (held === undefined) continue;
        if (how === "done") this.#end(incarnation, held, "done", fromMs);
        else {
          const afterMs = this.#options.times.gangEndDelayMs(other);
          this.#endLater(incarnation, held, { how: "broken", fromMs, afterMs });
        }
      }
    }
  }

  #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }
}
