/**
 * Keeps the advice that was given for steps. The service works on one question
 * of a node at a time, so questions are asked in the order of need, and only
 * for steps that wait.
 */
import * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";

/** What the book needs. */
export interface AdviceCacheOptions {
  /** Null where no advice service is set. */
  readonly advisor: Ports.Advisor | null;
  readonly clock: Ports.Clock;
  /** Told when new advice is there. */
  readonly onAdvice: () => void;
}

interface CachedAdvice {
  readonly tickets: Map<string, string>;
  /** Workers that were asked about; the policy never changes for a step. */
  readonly requested: Set<string>;
  readonly validUntilMs: number;
}

/** A ticket has to hold until the order has arrived. */
const DISPATCH_MARGIN_MS = 400;
const RESPONSE_MARGIN_MS = 1500;
/** Workers named at first; a wide step is asked about more. */
const MIN_ENDPOINTS_PER_REQUEST = 30;

/** Advice by step. */
export class AdviceCache {
  readonly #options: AdviceCacheOptions;
  readonly #cached = new Map<string, CachedAdvice>();
  #isFetching = false;

  constructor(options: AdviceCacheOptions) {
    this.#options = options;
  }

  /** The ticket for a unit on a worker; null where it may not run there now. */
  ticket(unit: Workflow.Unit, endpoint: string): string | null {
    const cached = this.#cached.get(stepName(unit));
    if (cached === undefined) return null;
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs + DISPATCH_MARGIN_MS > cached.validUntilMs) return null;
    return cached.tickets.get(endpoint) ?? null;
  }

  /** Tickets for a worker hold for one life; another one has begun there. */
  evictEndpoint(endpoint: string): void {
    for (const { tickets, requested } of this.#cached.values()) {
      tickets.delete(endpoint);
      requested.delete(endpoint);
    }
  }

  /** Asks about a unit that waits, unless a question is on its way. */
  request(unit: Workflow.Unit, endpoints: readonly string[]): void {
    const { advisor } = this.#options;
    if (advisor === null || this.#isFetching || endpoints.length === 0) return;
    const requested = this.#selectEndpoints(unit, endpoints);
    if (requested.length === 0) return;
    this.#isFetching = true;
    const done = Effect.sync(() => {
      this.#isFetching = false;
      this.#options.onAdvice();
    });
    Effect.runFork(
      Effect.ensuring(this.#fetch(advisor, unit, requested), done),
    );
  }

  /** Those that have not been asked about come first; then all again. */
  #selectEndpoints(
    unit: Workflow.Unit,
    endpoints: readonly string[],
  ): readonly string[] {
    const max = Math.min(
      Ports.MOST_ADVISED,
      Math.max(MIN_ENDPOINTS_PER_REQUEST, unit.tasks.length * 2),
    );
    const cached = this.#cached.get(stepName(unit));
    const isValid = cached !== undefined &&
      this.#options.clock.monotonicMs() + DISPATCH_MARGIN_MS <
        cached.validUntilMs;
    if (!isValid) {
      const allowed = endpoints.filter((id) => cached?.tickets.has(id) ?? true);
      return (allowed.length > 0 ? allowed : endpoints).slice(0, max);
    }
    return endpoints.filter((id) => !cached.requested.has(id)).slice(0, max);
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
      const name = stepName(unit);
      const response = advisor.ask(name, requested);
      const timeoutMs = serviceMs + RESPONSE_MARGIN_MS;
      const timed = yield* clock.within(timeoutMs, response);
      if (timed === null) return;
      this.#merge(name, requested, { advice: timed.value, requestedAtMs });
    }).pipe(Effect.ignore);
  }

  #merge(
    name: string,
    requested: readonly string[],
    response: { advice: Ports.Advice; requestedAtMs: number },
  ): void {
    const { tickets, validityMs } = response.advice;
    const previous = this.#cached.get(name);
    const nowMs = this.#options.clock.monotonicMs();
    const isPreviousValid = previous !== undefined &&
      nowMs < previous.validUntilMs;
    const merged = new Map(isPreviousValid ? previous.tickets : []);
    for (const { worker, ticket } of tickets) merged.set(worker, ticket);
    // The time runs from the answer at the latest; the earlier end counts.
    const validUntilMs = response.requestedAtMs + validityMs;
    this.#cached.set(name, {
      tickets: merged,
      requested: new Set([...(previous?.requested ?? []), ...requested]),
      validUntilMs: isPreviousValid
        ? Math.min(previous.validUntilMs, validUntilMs)
        : validUntilMs,
    });
  }
}

/** Name of a unit's step for the service. */
export function stepName(unit: Workflow.Unit): string {
  return `${unit.workflow.spec.id}.${unit.round}.${unit.stepIndex}`;
}
