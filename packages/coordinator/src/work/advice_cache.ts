/**
 * Requests and caches the answers of the advice service. The service handles one
 * request of a box at a time, so at most one request is in flight, and only for steps
 * that wait for advice.
 */
import * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as stepAdvice from "./step_advice.ts";

/** Dependencies of an `AdviceCache`. */
export interface AdviceCacheOptions {
  /** Null where no advice service is configured. */
  readonly advisor: Ports.Advisor | null;
  readonly clock: Ports.Clock;
  /** Called when a request has ended, whether or not it brought advice. */
  readonly onAdvice: () => void;
}

/** A waiting unit for which advice may be requested. */
export interface AdviceCandidate {
  readonly unit: Workflow.Unit;
  /** Lists the endpoints that may be named, in the order of preference. */
  readonly listEndpoints: () => readonly string[];
}

/** A step in one round of its workflow, as units and tasks name it. */
type StepPlace = Pick<Workflow.Unit, "workflow" | "round" | "stepIndex">;

interface CachedStep {
  readonly workflow: Workflow.Workflow;
  readonly advice: stepAdvice.StepAdvice;
  /** Number of its newest request; 0 before the first. */
  lastRequest: number;
}

/** Added to the time that the service takes by its policy. */
const RESPONSE_MARGIN_MS = 1500;
/** Steps with many tasks request twice as many endpoints as they have tasks. */
const MIN_ENDPOINTS_PER_REQUEST = 30;
/** Pause after a request without an answer, in ms, so that an overload can end. */
const FAILURE_PAUSE_MS = 250;

/** Tickets that let the tasks of a step run on given endpoints. */
export class AdviceCache {
  readonly #options: AdviceCacheOptions;
  /** Cached advice by the name of the step. */
  readonly #steps = new Map<string, CachedStep>();
  /** Endpoints that have restarted since the current request was sent. */
  readonly #restarted = new Set<string>();
  #isFetching = false;
  #requestCount = 0;
  #pausedUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: AdviceCacheOptions) {
    this.#options = options;
  }

  /** Number of steps with cached advice. */
  get size(): number {
    return this.#steps.size;
  }

  /** The ticket for a unit on an endpoint; null where it may not run there now. */
  ticket(unit: Workflow.Unit, endpoint: string): string | null {
    const nowMs = this.#options.clock.monotonicMs();
    const step = this.#steps.get(stepName(unit));
    return step?.advice.ticket(endpoint, nowMs) ?? null;
  }

  /** Whether the service has allowed a unit on an endpoint, even without a ticket. */
  isAllowed(unit: Workflow.Unit, endpoint: string): boolean {
    return this.#steps.get(stepName(unit))?.advice.isAllowed(endpoint) ?? false;
  }

  /** Drops a ticket that an endpoint has rejected. */
  dropTicket(
    task: Workflow.Task,
    endpoint: string,
    ticket: string | null,
  ): void {
    const step = this.#steps.get(stepName(task));
    step?.advice.dropTicket(endpoint, ticket);
  }

  /** Drops what is known of a restarted endpoint: it holds for one instance only. */
  evictEndpoint(endpoint: string): void {
    this.#restarted.add(endpoint);
    for (const { advice } of this.#steps.values()) advice.forget(endpoint);
  }

  /**
   * Requests advice for one of the waiting units, unless a request is in flight. Every
   * other request goes to the step whose newest request is oldest, so that steps which
   * wait for capacity do not use up all requests.
   */
  request(candidates: readonly AdviceCandidate[]): void {
    const { advisor, clock } = this.#options;
    if (advisor === null || this.#isFetching || candidates.length === 0) return;
    if (clock.monotonicMs() < this.#pausedUntilMs) return;
    this.#evictEnded();
    for (const { unit, listEndpoints } of this.#order(candidates)) {
      const requested = this.#selectEndpoints(unit, listEndpoints());
      if (requested.length === 0) continue;
      return this.#send(advisor, unit, requested);
    }
  }

  #send(
    advisor: Ports.Advisor,
    unit: Workflow.Unit,
    requested: readonly string[],
  ): void {
    this.#isFetching = true;
    this.#restarted.clear();
    this.#stepOf(unit).lastRequest = ++this.#requestCount;
    const done = Effect.sync(() => {
      this.#isFetching = false;
      this.#options.onAdvice();
    });
    Effect.runFork(
      Effect.ensuring(this.#fetch(advisor, unit, requested), done),
    );
  }

  #order(candidates: readonly AdviceCandidate[]): readonly AdviceCandidate[] {
    const isFairTurn = this.#requestCount % 2 === 1;
    if (!isFairTurn) return candidates;
    const lastRequestOf = ({ unit }: AdviceCandidate) =>
      this.#steps.get(stepName(unit))?.lastRequest ?? 0;
    return candidates.toSorted((a, b) => lastRequestOf(a) - lastRequestOf(b));
  }

  #selectEndpoints(
    unit: Workflow.Unit,
    endpoints: readonly string[],
  ): readonly string[] {
    const max = Math.min(
      Ports.MAX_ADVISED_ENDPOINTS,
      Math.max(MIN_ENDPOINTS_PER_REQUEST, unit.tasks.length * 2),
    );
    const nowMs = this.#options.clock.monotonicMs();
    const step = this.#stepOf(unit);
    return step.advice.selectEndpoints(endpoints, nowMs).slice(0, max);
  }

  #fetch(
    advisor: Ports.Advisor,
    unit: Workflow.Unit,
    requested: readonly string[],
  ): Effect.Effect<void> {
    const { clock } = this.#options;
    const policy = unit.workflow.spec.policy.advice;
    const serviceMs = (policy?.decisionMs ?? 0) +
      (policy?.perWorkerMs ?? 0) * requested.length;
    return Effect.gen({ self: this }, function* () {
      const requestedAtMs = clock.monotonicMs();
      const response = advisor.requestAdvice(stepName(unit), requested);
      const timeoutMs = serviceMs + RESPONSE_MARGIN_MS;
      const result = yield* Effect.result(clock.within(timeoutMs, response));
      const answeredAtMs = clock.monotonicMs();
      if (result._tag === "Failure" || result.success === null) {
        this.#pausedUntilMs = answeredAtMs + FAILURE_PAUSE_MS;
        return;
      }
      const advice = result.success.value;
      const step = this.#stepOf(unit);
      step.advice.apply({ advice, requested, requestedAtMs, answeredAtMs });
      // The answer may be about the instances that have ended since.
      for (const endpoint of this.#restarted) step.advice.forget(endpoint);
    });
  }

  #stepOf(unit: Workflow.Unit): CachedStep {
    const name = stepName(unit);
    const existing = this.#steps.get(name);
    if (existing !== undefined) return existing;
    const { workflow } = unit;
    const advice = new stepAdvice.StepAdvice();
    const step = { workflow, advice, lastRequest: 0 };
    this.#steps.set(name, step);
    return step;
  }

  #evictEnded(): void {
    for (const [name, { workflow }] of this.#steps) {
      if (workflow.isOver) this.#steps.delete(name);
    }
  }
}

/** Name of a step, as the advice service knows it. */
export function stepName(
  { workflow, round, stepIndex }: StepPlace,
): string {
  return `${workflow.spec.id}.${round}.${stepIndex}`;
}
