/** Runs that one endpoint holds or may hold, and how they end. */
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as assignments from "./occupant.ts";
import type * as listeners from "./session_listener.ts";

/** Told of each end; the effect ends when it is recorded. */
export type EndHandler = (
  assignment: assignments.Occupant,
  end: listeners.SessionEnd,
) => Effect.Effect<void>;

/** Runs of one life of an endpoint, by task. */
export class TrackedRuns {
  readonly #byTask = new Map<string, assignments.Occupant>();
  readonly #onEnd: EndHandler;

  constructor(onEnd: EndHandler) {
    this.#onEnd = onEnd;
  }

  /** All of them. */
  get all(): readonly assignments.Occupant[] {
    return [...this.#byTask.values()];
  }

  /** Those whose start was sent. */
  get sent(): readonly assignments.Occupant[] {
    return this.all.filter((one) => one.isSent);
  }

  /** Whether there is none. */
  get isEmpty(): boolean {
    return this.#byTask.size === 0;
  }

  /** The run of a task that is held; undefined for none. */
  get(task: string): assignments.Occupant | undefined {
    return this.#byTask.get(task);
  }

  /** Whether this very run is still held. */
  holds(assignment: assignments.Occupant): boolean {
    return this.#byTask.get(assignment.task.name) === assignment;
  }

  /** Takes in a run that the records of an earlier coordinator name. */
  adopt(task: Workflow.Task): void {
    this.#byTask.set(task.name, assignments.adoptAssignment(task));
  }

  /** Takes in a run that was held where its endpoint stood before. */
  takeOver(former: assignments.Occupant): assignments.Occupant {
    const assignment = assignments.takeOverAssignment(former);
    this.#byTask.set(assignment.task.name, assignment);
    return assignment;
  }

  /** Keeps room for a run whose start is not sent yet. */
  reserve(task: Workflow.Task, ticket: string | null): assignments.Occupant {
    const assignment = assignments.createOccupant(task, ticket);
    this.#byTask.set(task.name, assignment);
    return assignment;
  }

  /** A run is over; old news are passed over. */
  end(
    assignment: assignments.Occupant,
    end: listeners.SessionEnd,
  ): Effect.Effect<void> {
    if (!this.holds(assignment)) return Effect.void;
    this.#byTask.delete(assignment.task.name);
    return this.#onEnd(assignment, end);
  }
}
