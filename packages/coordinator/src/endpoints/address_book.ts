/** Which endpoints are known at which address. More than one may claim the same. */

/** Ids by address. */
export class AddressIndex {
  readonly #idsAt = new Map<string, Set<string>>();

  /** An entry or a session names this address for an endpoint. */
  add(id: string, address: string): void {
    const ids = this.#idsAt.get(address) ?? new Set();
    this.#idsAt.set(address, ids.add(id));
  }

  /** Nothing names this address for an endpoint any more. */
  remove(id: string, address: string): void {
    const ids = this.#idsAt.get(address);
    ids?.delete(id);
    if (ids?.size === 0) this.#idsAt.delete(address);
  }

  /** The others at an address. */
  othersAt(address: string, id: string): readonly string[] {
    return [...this.#idsAt.get(address) ?? []].filter((one) => one !== id);
  }
}
