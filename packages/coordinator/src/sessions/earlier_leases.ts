/** Bounds leases that nobody renews any more: of earlier terms and closed sessions. */
import type * as remainingLeases from "../election/remaining_leases.ts";
import type * as ports from "../ports.ts";
import * as leaseClocks from "./lease_clock.ts";

/** Ends of earlier leases, by the monotonic clock of this box. */
export class EarlierLeases {
  readonly #ports: Pick<ports.CoordinatorPorts, "clock" | "bounds">;
  /** Ends by endpoint that the former holder has handed over; null for none. */
  readonly #inherited: ReadonlyMap<string, number> | null;
  /** End of all others that it has handed over. */
  readonly #othersEndMs: number;
  /** End of all leases where none was handed over; null before this term has begun. */
  #endMs: number | null = null;
  readonly #closed = new Map<string, number>();

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
    this.#closed.set(endpoint, endMs);
  }

  /** Whether a session with an endpoint was closed in this term. */
  hadSession(endpoint: string): boolean {
    return this.#closed.has(endpoint);
  }

  /** Time by which all earlier leases of an endpoint have expired. */
  endMs(endpoint: string): number {
    const closedEndMs = this.#closed.get(endpoint) ?? 0;
    return Math.max(this.#inheritedEndMs(endpoint), closedEndMs);
  }

  /** Time by which all earlier leases of all endpoints have expired. */
  get lastEndMs(): number {
    const ends = [...this.#closed.values(), ...this.#inherited?.values() ?? []];
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
