/**
 * The endpoint incarnations that a record of a workflow refers to. An incarnation
 * is one process life of an endpoint.
 */

/** Incarnations as stored. */
export interface IncarnationsRecord {
  /** Ids of the endpoints that may hold runs, one for each incarnation. */
  readonly workers: readonly string[];
  /**
   * Start times of these incarnations; omitted, also by earlier versions, if none
   * is known. They are separate from the ids so that an earlier version can still
   * read those.
   */
  readonly births?: readonly (number | null)[];
  /**
   * Addresses to which starts of these incarnations were sent, by index in `workers`:
   * once their entries are gone, nothing else tells whom to ask, and an answer of
   * another one there proves their end. Omitted if none is known, and by earlier
   * versions for tasks that are no crash suspects.
   */
  readonly addresses?: Readonly<Record<string, string>>;
}

/** Collects the incarnations of one record. */
export class IncarnationTable {
  readonly #indexes = new Map<string, number>();
  readonly #workers: string[] = [];
  readonly #births: (number | null)[] = [];
  readonly #addresses = new Map<number, string>();

  /** Index of an incarnation in the lists, adding it if needed. */
  indexOf(
    endpoint: string,
    bornMs: number | null,
    address: string | null,
  ): number {
    // An entry may have named a wrong address for a later start.
    const key = [bornMs ?? "", endpoint, address ?? ""].join("@");
    const index = this.#indexes.get(key) ?? this.#workers.push(endpoint) - 1;
    this.#indexes.set(key, index);
    this.#births[index] = bornMs;
    if (address !== null) this.#addresses.set(index, address);
    return index;
  }

  /** The stored lists; addresses are left out if the row has no space for them. */
  toRecord(includesAddresses: boolean): IncarnationsRecord {
    const births = this.#births;
    const addresses = Object.fromEntries(this.#addresses);
    return {
      workers: this.#workers,
      ...(births.some((bornMs) => bornMs !== null) ? { births } : {}),
      ...(includesAddresses && this.#addresses.size > 0 ? { addresses } : {}),
    };
  }
}
