/**
 * Caches the answers of the advice service by step. The service handles one request
 * of a box at a time, so at most one request is in flight, and only for steps that
 * wait for advice.
 */
import * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";

/** Dependencies of an `AdviceCache`. */
export interface AdviceCacheOptions {
  /** Null where no advice service is configured. */
  readonly advisor: Ports.Advisor | null;
  readonly clock: Ports.Clock;
  /** Called when a request has ended, whether or not it brought advice. */
  readonly onAdvice: () => void;
}

interface CachedAdvice {
  /** Ticket by endpoint id. */
  readonly tickets: Map<string, string>;
  /** Endpoints requested so far; the policy of a step never changes. */
  readonly requested: Set<string>;
  readonly validUntilMs: number;
}

/** A ticket has to stay valid until the start order reaches the endpoint. */
const DISPATCH_MARGIN_MS = 400;
/** Added to the time that the service takes by its policy. */
const RESPONSE_MARGIN_MS = 1500;
/** Steps with many tasks request twice as many endpoints as they have tasks. */
const MIN_ENDPOINTS_PER_REQUEST = 30;

/** Tickets that let the tasks of a step run on given endpoints. */
export class AdviceCache {
  readonly #options: AdviceCacheOptions;
  readonly #cached = new Map<string, CachedAdvice>();
  #isFetching = false;

  constructor(options: AdviceCacheOptions) {
    this.#options = options;
  }

  /** The ticket for a unit on an endpoint; null where it may not run there now. */
  ticket(unit: Workflow.Unit, endpoint: string): string | null {
    const cached = this.#cached.get(stepName(unit));
    if (cached === undefined) return null;
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs + DISPATCH_MARGIN_MS > cached.validUntilMs) return null;
    return cached.tickets.get(endpoint) ?? null;
  }

  /** Drops the tickets of a restarted endpoint: they hold for one instance only. */
  evictEndpoint(endpoint: string): void {
    for (const { tickets, requested } of this.#cached.values()) {
      tickets.delete(endpoint);
      requested.delete(endpoint);
    }
  }

  /** Requests advice for a waiting unit, unless a request is in flight. */
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

  /**
   * While the cached advice is valid, endpoints not yet requested; after that, those
   * that were allowed before, or all where none were.
   */
  #selectEndpoints(
    unit: Workflow.Unit,
    endpoints: readonly string[],
  ): readonly string[] {
    const max = Math.min(
      Ports.MAX_ADVISED_ENDPOINTS,
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
      const response = advisor.requestAdvice(name, requested);
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
    // The service starts the validity at its answer at the latest. Counting from the
    // request, and keeping the earlier end, never overestimates it.
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

/** Name of a unit's step, as the advice service knows it. */
export function stepName(unit: Workflow.Unit): string {
  return `${unit.workflow.spec.id}.${unit.round}.${unit.stepIndex}`;
}
