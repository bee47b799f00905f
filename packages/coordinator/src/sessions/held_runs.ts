/** Runs that one endpoint holds or may hold, and how they end. */
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as occupants from "./occupant.ts";
import type * as listeners from "./session_listener.ts";

/** Told of each end; the effect ends when it is recorded. */
export type EndOf = (
  occupant: occupants.Occupant,
  end: listeners.SessionEnd,
) => Effect.Effect<void>;

/** Runs of one life of an endpoint, by task. */
export class HeldRuns {
  readonly #byTask = new Map<string, occupants.Occupant>();
  readonly #onEnd: EndOf;

  constructor(onEnd: EndOf) {
    this.#onEnd = onEnd;
  }

  /** All of them. */
  get all(): readonly occupants.Occupant[] {
    return [...this.#byTask.values()];
  }

  /** Those whose start was sent. */
  get sent(): readonly occupants.Occupant[] {
    return this.all.filter((one) => one.sent);
  }

  /** Whether there is none. */
  get isEmpty(): boolean {
    return this.#byTask.size === 0;
  }

  /** The run of a task that is held; undefined for none. */
  get(task: string): occupants.Occupant | undefined {
    return this.#byTask.get(task);
  }

  /** Whether this very run is still held. */
  holds(occupant: occupants.Occupant): boolean {
    return this.#byTask.get(occupant.task.name) === occupant;
  }

  /** Takes in a run that the records of an earlier coordinator name. */
  adopt(task: Workflow.Task): void {
    this.#byTask.set(task.name, occupants.adoptOccupant(task));
  }

  /** Takes in a run that was held where its endpoint stood before. */
  takeOver(former: occupants.Occupant): occupants.Occupant {
    const occupant = occupants.takeOverOccupant(former);
    this.#byTask.set(occupant.task.name, occupant);
    return occupant;
  }

  /** Keeps room for a run whose start is not sent yet. */
  reserve(task: Workflow.Task, ticket: string | null): occupants.Occupant {
    const occupant = occupants.createOccupant(task, ticket);
    this.#byTask.set(task.name, occupant);
    return occupant;
  }

  /** A run is over; old news are passed over. */
  end(
    occupant: occupants.Occupant,
    end: listeners.SessionEnd,
  ): Effect.Effect<void> {
    if (!this.holds(occupant)) return Effect.void;
    this.#byTask.delete(occupant.task.name);
    return this.#onEnd(occupant, end);
  }
}
