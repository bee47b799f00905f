/** Bounds leases that nobody renews any more: of earlier terms and closed sessions. */
import type * as remainingLeases from "../election/remaining_leases.ts";
import type * as ports from "../ports.ts";
import * as leaseClocks from "./lease_clock.ts";
import * as unansweredStarts from "./unanswered_starts.ts";

interface ClosedSession {
  /** Time by which its leases have expired. */
  readonly endMs: number;
  /** Time until which its orders may still arrive. */
  readonly ordersUntilMs: number;
}

/** Ends of earlier leases, by the monotonic clock of this box. */
export class EarlierLeases {
  readonly #ports: Pick<ports.CoordinatorPorts, "clock" | "bounds">;
  /** Ends at silent endpoints, as the former holder has handed them over. */
  readonly #inherited: ReadonlyMap<string, number>;
  /** Time until which orders of the former holder may still arrive. */
  readonly #inheritedOrdersUntilMs: number;
  /** End of all other leases; null before this term has begun. */
  #endMs: number | null = null;
  readonly #closed = new Map<string, ClosedSession>();

  constructor(
    coordinatorPorts: Pick<ports.CoordinatorPorts, "clock" | "bounds">,
    inherited: remainingLeases.InheritedLeases | null,
  ) {
    this.#ports = coordinatorPorts;
    const { leases, readAtMs } = inherited ?? { leases: {}, readAtMs: 0 };
    this.#inherited = new Map(
      Object.entries(leases).map(([id, leftMs]) => [id, readAtMs + leftMs]),
    );
    this.#inheritedOrdersUntilMs = readAtMs +
      unansweredStarts.LONGEST_ORDER_DELAY_MS;
  }

  /**
   * Notes that endpoints are called from now on. The former holder may have renewed
   * leases until now, as no endpoint knew of this term.
   */
  begin(): void {
    this.#endMs = this.#longestEndMs();
  }

  /** Notes the end of the leases of a session that is closed. */
  noteSessionClosed(endpoint: string, endMs: number): void {
    const closedAtMs = this.#ports.clock.monotonicMs();
    const ordersUntilMs = closedAtMs + unansweredStarts.LONGEST_ORDER_DELAY_MS;
    this.#closed.set(endpoint, { endMs, ordersUntilMs });
  }

  /** Whether a session with an endpoint was closed in this term. */
  hadSession(endpoint: string): boolean {
    return this.#closed.has(endpoint);
  }

  /**
   * Time until which earlier orders may still arrive at an endpoint whose leases were
   * handed over, or with which a session was closed.
   */
  ordersUntilMs(endpoint: string): number {
    const isInherited = this.#inherited.has(endpoint);
    return this.#closed.get(endpoint)?.ordersUntilMs ??
      (isInherited ? this.#inheritedOrdersUntilMs : Number.NEGATIVE_INFINITY);
  }

  /** Time by which all earlier leases of an endpoint have expired. */
  endMs(endpoint: string): number {
    const closedEndMs = this.#closed.get(endpoint)?.endMs ?? 0;
    const endMs = this.#inherited.get(endpoint) ?? this.#endMs ??
      this.#longestEndMs();
    return Math.max(endMs, closedEndMs);
  }

  /** Ends at endpoints that the former holder has handed over. */
  get inherited(): Iterable<readonly [endpoint: string, endMs: number]> {
    return this.#inherited;
  }

  #longestEndMs(): number {
    const { clock, bounds } = this.#ports;
    return leaseClocks.foreignLeaseEndMs(
      clock.monotonicMs(),
      bounds.longestLeaseMs,
    );
  }
}
