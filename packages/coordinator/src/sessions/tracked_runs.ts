/** Tracks the runs that one endpoint holds or may hold, and ends them. */
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as assignments from "./assignment.ts";
import type * as listeners from "./session_listener.ts";

/** Receives each end of a run; the effect completes when the end is recorded. */
export type EndHandler = (
  assignment: assignments.Assignment,
  end: listeners.RunEndReport,
) => Effect.Effect<void>;

/** Runs of one endpoint by task. */
export class TrackedRuns {
  readonly #byTask = new Map<string, assignments.Assignment>();
  readonly #onEnd: EndHandler;

  constructor(onEnd: EndHandler) {
    this.#onEnd = onEnd;
  }

  /** All tracked runs. */
  get all(): readonly assignments.Assignment[] {
    return [...this.#byTask.values()];
  }

  /** Runs whose start was sent. */
  get sent(): readonly assignments.Assignment[] {
    return this.all.filter((one) => one.isSent);
  }

  /** Whether no run is tracked. */
  get isEmpty(): boolean {
    return this.#byTask.size === 0;
  }

  /** The tracked run of a task; undefined if there is none. */
  get(task: string): assignments.Assignment | undefined {
    return this.#byTask.get(task);
  }

  /** Whether exactly this run is still tracked. */
  holds(assignment: assignments.Assignment): boolean {
    return this.#byTask.get(assignment.task.name) === assignment;
  }

  /** Adds a run that the records of an earlier coordinator name. */
  adopt(task: Workflow.Task): void {
    this.#byTask.set(task.name, assignments.adoptAssignment(task));
  }

  /** Adds a run that was tracked at the former address of the endpoint. */
  takeOver(former: assignments.Assignment): assignments.Assignment {
    const assignment = assignments.takeOverAssignment(former);
    this.#byTask.set(assignment.task.name, assignment);
    return assignment;
  }

  /** Reserves capacity for a run whose start is not sent yet. */
  reserve(task: Workflow.Task, ticket: string | null): assignments.Assignment {
    const assignment = assignments.createAssignment(task, ticket);
    this.#byTask.set(task.name, assignment);
    return assignment;
  }

  /** Ends a run; ignored where it is not tracked any more. */
  end(
    assignment: assignments.Assignment,
    end: listeners.RunEndReport,
  ): Effect.Effect<void> {
    if (!this.holds(assignment)) return Effect.void;
    this.#byTask.delete(assignment.task.name);
    return this.#onEnd(assignment, end);
  }
}
