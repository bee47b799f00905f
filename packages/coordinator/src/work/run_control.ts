/** Starts, stops and adopts runs; no order is sent before it is recorded. */
import * as Workflow from "@cairngate/workflow";
import type * as Scheduler from "@cairngate/workflow-scheduler";
import * as Effect from "effect/Effect";
import type * as advice from "./advice_cache.ts";
import type * as remainingLeases from "../election/remaining_leases.ts";
import * as leaseClocks from "../sessions/lease_clock.ts";
import * as leaseHandOver from "../sessions/lease_hand_over.ts";
import * as missingRuns from "./missing_runs.ts";
import * as descriptions from "./run_descriptions.ts";
import type * as ports from "../ports.ts";
import type * as recorders from "./recorder.ts";
import type * as directories from "../endpoints/endpoint_directory.ts";

/** Dependencies of `RunControl`. */
export interface RunControlParts {
  readonly ports: ports.CoordinatorPorts;
  readonly recorder: recorders.Recorder;
  readonly directory: directories.EndpointDirectory;
  readonly advice: advice.AdviceCache;
}

/** Carries out start and stop decisions. */
export class RunControl {
  readonly #parts: RunControlParts;
  readonly #missing = new missingRuns.MissingRuns();

  constructor(parts: RunControlParts) {
    this.#parts = parts;
  }

  /** Reserves the endpoints at once; sends the orders once they are recorded. */
  start(decision: Scheduler.StartDecision): void {
    const { ports: { clock }, directory, recorder } = this.#parts;
    const { unit, endpointIds: endpoints } = decision;
    const { workflow } = unit;
    const run = 1 + Math.max(...unit.tasks.map((task) => task.run));
    if (workflow.state === Workflow.WorkflowState.Queued) {
      workflow.state = Workflow.WorkflowState.Running;
    }
    const orders = unit.tasks.flatMap((task, i) => {
      const session = directory.session(endpoints[i]);
      if (session === null) return [];
      const { likelyBornMs, ref: { address } } = session;
      const nowMs = clock.monotonicMs();
      task.place(endpoints[i], run, nowMs, likelyBornMs, address);
      const ticket = this.#parts.advice.ticket(unit, endpoints[i]);
      return [{ session, assignment: session.reserve(task, ticket) }];
    });
    this.#logRetry(unit, run);
    const send = Effect.forEach(
      orders,
      ({ session, assignment }) => session.start(assignment),
      { concurrency: "unbounded", discard: true },
    );
    Effect.runFork(Effect.andThen(recorder.record(workflow), send));
  }

  /** Stops the run of a task, where a session of its endpoint holds it. */
  stop(task: Workflow.Task): void {
    if (task.endpoint === null) return;
    const session = this.#parts.directory.session(task.endpoint);
    const assignment = session?.assignments.find((o) => o.task === task);
    if (session === null || assignment === undefined) return;
    if (task.state !== Workflow.TaskState.Done) {
      task.state = Workflow.TaskState.Stopping;
    }
    if (assignment.stoppingSinceMs !== null) return;
    assignment.stoppingSinceMs = this.#parts.ports.clock.monotonicMs();
    Effect.runFork(session.stop(assignment));
  }

  /** Stops all placed tasks of a workflow. */
  stopAll(workflow: Workflow.Workflow): void {
    for (const task of workflow.placedTasks()) this.stop(task);
  }

  /** Stops the members of a gang that are still placed in the given run. */
  stopGang(task: Workflow.Task, run: number): void {
    for (const member of task.workflow.siblings(task)) {
      if (member.isPlaced && member.run === run) this.stop(member);
    }
  }

  /** Adopts a run that an earlier term placed, or tracks it as missing. */
  adopt(task: Workflow.Task): void {
    const { ports: { clock }, directory } = this.#parts;
    const nowMs = clock.monotonicMs();
    // Its elapsed time is not known; assumes half of the estimate.
    task.startedAtMs = nowMs - task.step.estimateMs / 2;
    const { run, endpoint, bornMs, address } = task;
    if (endpoint === null) return;
    const presence = Workflow.Presence.Unknown;
    const session = directory.open(endpoint, task.isSuspect ? task : null);
    if (session === null) {
      return this.#addMissing({
        task,
        run,
        endpoint,
        bornMs,
        address,
        presence,
      });
    }
    session.adopt(task);
    if (task.workflow.isOver) this.stop(task);
  }

  /** Adopts a run that an earlier term gave up and whose end may still be reported. */
  adoptUnresolved(end: Workflow.UnresolvedRun): void {
    const session = this.#parts.directory.open(end.endpoint, end);
    if (session === null) this.#addMissing(end);
    else session.adoptUnreported(end);
  }

  /** Starts calling endpoints. */
  begin(): void {
    const { directory } = this.#parts;
    directory.begin();
    this.#missing.extendLeases((id) => directory.earlierLeases.endMs(id));
  }

  /** Lists the leases of silent endpoints, once no more are granted. */
  listRemainingLeases(): remainingLeases.RemainingLeases {
    const { ports: { clock }, directory } = this.#parts;
    return leaseHandOver.listRemainingLeases(
      [...directory.listLeaseEnds(), ...this.#missing.leaseEnds()],
      clock.monotonicMs(),
    );
  }

  /**
   * Adopts missing runs whose endpoints are listed again, and returns those whose
   * leases have expired or whose endpoints are replaced where their starts were sent.
   */
  resolveMissing(): readonly missingRuns.MissingRun[] {
    const { ports: { clock }, directory } = this.#parts;
    const isListed = (endpoint: string) => directory.open(endpoint) !== null;
    for (const missing of this.#missing.removeListed(isListed)) {
      const { task, run, endpoint } = missing;
      const isPlaced = task.endpoint === endpoint && task.run === run;
      if (isPlaced) this.adopt(task);
      else this.adoptUnresolved(missing);
    }
    const replaced = this.#missing.removeReplaced((
      { task, endpoint: id, address },
    ) =>
      typeof address === "string" && !task.isSuspect &&
      directory.isReplacedAt({ id, address })
    );
    return [...replaced, ...this.#missing.removeExpired(clock.monotonicMs())];
  }

  /** Logs a start that follows failed runs, or runs that may turn out to have failed. */
  #logRetry({ tasks: [first], tasks }: Workflow.Unit, run: number): void {
    const { workflow: { unresolvedRuns }, stepKey } = first;
    const hasFailed = tasks.some(({ failures }) => failures > 0);
    if (!hasFailed && unresolvedRuns.openRuns(stepKey).size === 0) return;
    this.#parts.ports.log.info(
      `Run ${run} of ${first.name} starts: ${
        descriptions.describeFailures(first)
      }.`,
    );
  }

  /**
   * Tracks a run until every lease that a coordinator may have granted has expired.
   * An endpoint known to have ended needs no wait.
   */
  #addMissing(run: Workflow.UnresolvedRun): void {
    const leaseExpiresAtMs = this.#leaseEndMs(run.endpoint);
    this.#missing.add({ ...run, leaseExpiresAtMs });
  }

  #leaseEndMs(endpoint: string): number {
    const { ports: { clock, bounds }, directory } = this.#parts;
    const nowMs = clock.monotonicMs();
    if (directory.hasEnded(endpoint)) return nowMs;
    // This term may have granted leases there.
    if (directory.wasOpened(endpoint)) {
      return leaseClocks.foreignLeaseEndMs(nowMs, bounds.longestLeaseMs);
    }
    return directory.earlierLeases.endMs(endpoint);
  }
}
