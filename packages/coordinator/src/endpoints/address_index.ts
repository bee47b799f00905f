/** Index of endpoint ids by address. Several endpoints may claim one address. */

/** Multimap from address to endpoint ids. */
export class AddressIndex {
  readonly #idsAt = new Map<string, Set<string>>();

  /** Records that a listing or a session places the endpoint at this address. */
  add(id: string, address: string): void {
    const ids = this.#idsAt.get(address) ?? new Set();
    this.#idsAt.set(address, ids.add(id));
  }

  /**
   * Removes the endpoint from the address once no listing or session places it there.
   */
  remove(id: string, address: string): void {
    const ids = this.#idsAt.get(address);
    ids?.delete(id);
    if (ids?.size === 0) this.#idsAt.delete(address);
  }

  /** Other endpoints that claim this address. */
  othersAt(address: string, id: string): readonly string[] {
    return [...this.#idsAt.get(address) ?? []].filter((one) => one !== id);
  }
}
