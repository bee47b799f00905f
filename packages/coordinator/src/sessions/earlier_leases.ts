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
  /** Ends by endpoint that the former holder has handed over; null for none. */
  readonly #inherited: ReadonlyMap<string, number> | null;
  /** End of all others that it has handed over. */
  readonly #othersEndMs: number;
  /** End of all leases where none was handed over; null before this term has begun. */
  #endMs: number | null = null;
  readonly #closed = new Map<string, ClosedSession>();

  constructor(
    coordinatorPorts: Pick<ports.CoordinatorPorts, "clock" | "bounds">,
    inherited: remainingLeases.InheritedLeases | null,
  ) {
    this.#ports = coordinatorPorts;
    const { leases, readAtMs } = inherited ?? { leases: null, readAtMs: 0 };
    const ends = Object.entries(leases?.byEndpoint ?? {}).map((
      [id, leftMs],
    ): [string, number] => [id, readAtMs + leftMs]);
    this.#inherited = leases === null ? null : new Map(ends);
    this.#othersEndMs = readAtMs + (leases?.othersMs ?? 0);
  }

  /**
   * Notes that endpoints are called from now on. A former holder that has not handed
   * over may have renewed leases until now, as no endpoint knew of this term.
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

  /** Time until which orders of closed sessions may still arrive at an endpoint. */
  ordersUntilMs(endpoint: string): number {
    return this.#closed.get(endpoint)?.ordersUntilMs ??
      Number.NEGATIVE_INFINITY;
  }

  /** Time by which all earlier leases of an endpoint have expired. */
  endMs(endpoint: string): number {
    const closedEndMs = this.#closed.get(endpoint)?.endMs ?? 0;
    return Math.max(this.#inheritedEndMs(endpoint), closedEndMs);
  }

  /** Time by which all earlier leases of all endpoints have expired. */
  get lastEndMs(): number {
    const closedEnds = [...this.#closed.values()].map(({ endMs }) => endMs);
    const ends = [...closedEnds, ...this.#inherited?.values() ?? []];
    const othersEndMs = this.#inherited === null
      ? this.#endMs ?? this.#longestEndMs()
      : this.#othersEndMs;
    return Math.max(othersEndMs, ...ends);
  }

  /** Endpoints whose leases were handed over one by one, and their ends. */
  get handedOver(): Iterable<readonly [endpoint: string, endMs: number]> {
    return this.#inherited ?? [];
  }

  #inheritedEndMs(endpoint: string): number {
    if (this.#inherited === null) return this.#endMs ?? this.#longestEndMs();
    return this.#inherited.get(endpoint) ?? this.#othersEndMs;
  }

  #longestEndMs(): number {
    const { clock, bounds } = this.#ports;
    return leaseClocks.foreignLeaseEndMs(
      clock.monotonicMs(),
      bounds.longestLeaseMs,
    );
  }
}
