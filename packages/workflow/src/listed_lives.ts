/** The lives of endpoints that one record of a workflow names. */

/** Lives as they are recorded. */
export interface LivesRecord {
  /** Workers that may hold runs; one for each of their lives. */
  readonly workers: readonly string[];
  /**
   * Births of these lives; left out, also by earlier versions: none is known. They
   * stand apart from the ids so that an earlier version still finds those.
   */
  readonly births?: readonly (number | null)[];
  /**
   * Addresses of these lives, by their place in `workers`, where a task in doubt is there:
   * once their entries are gone nobody else knows whom to ask. Left out: none is needed,
   * or an earlier version wrote.
   */
  readonly addresses?: Readonly<Record<string, string>>;
}

/** Lives that one record names. */
export class ListedLives {
  readonly #places = new Map<string, number>();
  readonly #workers: string[] = [];
  readonly #births: (number | null)[] = [];
  readonly #addresses = new Map<number, string>();

  /** Place of a life in the lists. */
  placeOf(
    worker: string,
    bornMs: number | null,
    address: string | null,
  ): number {
    const name = `${bornMs ?? ""}@${worker}`;
    const place = this.#places.get(name) ?? this.#workers.push(worker) - 1;
    this.#places.set(name, place);
    this.#births[place] = bornMs;
    if (address !== null) this.#addresses.set(place, address);
    return place;
  }

  /** The lists; addresses only where there is room for them. */
  list(hasRoom: boolean): LivesRecord {
    const births = this.#births;
    const addresses = Object.fromEntries(this.#addresses);
    return {
      workers: this.#workers,
      ...(births.some((bornMs) => bornMs !== null) ? { births } : {}),
      ...(hasRoom && this.#addresses.size > 0 ? { addresses } : {}),
    };
  }
}
