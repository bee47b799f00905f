/**
 * What the advice service has said of the endpoints of one step. Whether an endpoint
 * may run the step never changes; the ticket that proves it expires.
 */
import type * as Ports from "@cairngate/ports";

/** A ticket has to stay valid until the start order reaches the endpoint. */
const DISPATCH_MARGIN_MS = 400;

/**
 * Time after which an endpoint that is not allowed is named again, in ms, while no
 * allowed one is usable. The service may not have known a new endpoint yet.
 */
const DENIAL_RECHECK_MS = 10_000;

interface Ticket {
  readonly ticket: string;
  readonly validUntilMs: number;
}

/** An answer of the advice service on one step. */
export interface AdviceAnswer {
  readonly advice: Ports.Advice;
  /** Endpoints that the request named. */
  readonly requested: readonly string[];
  /** Monotonic time of the request and of the answer. */
  readonly requestedAtMs: number;
  readonly answeredAtMs: number;
}

/** Allowed and denied endpoints of one step, and its tickets. */
export class StepAdvice {
  readonly #tickets = new Map<string, Ticket>();
  readonly #allowed = new Set<string>();
  /** Monotonic time of the newest answer without the endpoint, by endpoint. */
  readonly #deniedAtMs = new Map<string, number>();

  /** Whether the service has allowed the endpoint, with or without a valid ticket. */
  isAllowed(endpoint: string): boolean {
    return this.#allowed.has(endpoint);
  }

  /** The ticket for an endpoint; null where none is valid for long enough. */
  ticket(endpoint: string, nowMs: number): string | null {
    const held = this.#tickets.get(endpoint);
    if (held === undefined) return null;
    return nowMs + DISPATCH_MARGIN_MS > held.validUntilMs ? null : held.ticket;
  }

  /** Applies an answer. */
  apply(answer: AdviceAnswer): void {
    const { advice, requested, requestedAtMs, answeredAtMs } = answer;
    // The service starts the validity at its answer at the latest. Counting from the
    // request never overestimates it.
    const validUntilMs = requestedAtMs + advice.validityMs;
    for (const { worker, ticket } of advice.tickets) {
      this.#allowed.add(worker);
      this.#tickets.set(worker, { ticket, validUntilMs });
    }
    const named = new Set(advice.tickets.map(({ worker }) => worker));
    for (const endpoint of requested) {
      if (named.has(endpoint)) this.#deniedAtMs.delete(endpoint);
      else this.#deny(endpoint, answeredAtMs);
    }
  }

  /** Drops all that is known of an endpoint, whose new incarnation may be another kind. */
  forget(endpoint: string): void {
    this.#tickets.delete(endpoint);
    this.#allowed.delete(endpoint);
    this.#deniedAtMs.delete(endpoint);
  }

  /** Drops a ticket that an endpoint has rejected, unless there is a newer one. */
  dropTicket(endpoint: string, ticket: string | null): void {
    const held = this.#tickets.get(endpoint);
    if (held?.ticket === ticket) this.#tickets.delete(endpoint);
  }

  /**
   * Endpoints to name in the next request: allowed ones whose tickets have expired,
   * otherwise those that no answer has covered yet. Denied ones are named again, rarely,
   * while no eligible endpoint is allowed.
   */
  selectEndpoints(
    eligible: readonly string[],
    nowMs: number,
  ): readonly string[] {
    const allowed = eligible.filter((id) => this.#allowed.has(id));
    const expired = allowed.filter((id) => this.ticket(id, nowMs) === null);
    if (expired.length > 0) return expired;
    const unknown = eligible.filter((id) =>
      !this.#allowed.has(id) && !this.#deniedAtMs.has(id)
    );
    if (unknown.length > 0 || allowed.length > 0) return unknown;
    return eligible.filter((id) =>
      nowMs - (this.#deniedAtMs.get(id) ?? 0) >= DENIAL_RECHECK_MS
    );
  }

  #deny(endpoint: string, nowMs: number): void {
    this.forget(endpoint);
    this.#deniedAtMs.set(endpoint, nowMs);
  }
}
