/** Registry of the incarnations of endpoints and of their addresses. */
import type * as Ports from "@cairngate/ports";
import type * as incarnations from "./incarnation.ts";

/** Listener at the address of an order. */
export enum Listener {
  /** The endpoint that the order was sent to, which need not be registered. */
  Intended = "meant",
  Other = "another",
  None = "nobody",
}

/** Id that stands for an address without a listener. */
const NO_LISTENER = "";

/** The incarnations of one test. */
export class IncarnationRegistry {
  readonly #incarnations = new Map<string, incarnations.Incarnation>();
  /** Ids of ended incarnations, and whether another one has replaced them. */
  readonly #ended = new Map<string, { isReplaced: boolean }>();
  /** Id of the last listener of each address. */
  readonly #atAddress = new Map<string, string>();

  /** All running incarnations. */
  get all(): incarnations.Incarnation[] {
    return [...this.#incarnations.values()];
  }

  /** Returns the running incarnation of an id; undefined if there is none. */
  get(id: string): incarnations.Incarnation | undefined {
    return this.#incarnations.get(id);
  }

  /** Adds an incarnation and removes the record of an ended one with its id. */
  add(incarnation: incarnations.Incarnation): void {
    this.#ended.delete(incarnation.spec.id);
    this.#incarnations.set(incarnation.spec.id, incarnation);
  }

  /** Adds an incarnation at the address of an ended one. */
  replace(earlier: string, incarnation: incarnations.Incarnation): void {
    this.#incarnations.set(incarnation.spec.id, incarnation);
    const ended = this.#ended.get(earlier);
    if (ended !== undefined) ended.isReplaced = true;
  }

  /** Removes an incarnation that has ended. */
  remove(id: string): void {
    this.#incarnations.delete(id);
    this.#ended.set(id, { isReplaced: false });
  }

  /** Sets the listener of an address, which then also gets orders to other ids. */
  setListener(address: string, id: string): void {
    if (this.#incarnations.has(id)) this.#atAddress.set(address, id);
  }

  /** Removes the listener of an address. */
  removeListener(address: string): void {
    this.#atAddress.set(address, NO_LISTENER);
  }

  /** Returns who listens at the address of an endpoint. */
  listenerAt(endpoint: Ports.EndpointRef): Listener {
    const ended = this.#ended.get(endpoint.id);
    if (ended !== undefined) {
      return ended.isReplaced ? Listener.Other : Listener.None;
    }
    const current = this.#atAddress.get(endpoint.address) ?? endpoint.id;
    if (current === endpoint.id) return Listener.Intended;
    return this.#incarnations.has(current) ? Listener.Other : Listener.None;
  }
}
