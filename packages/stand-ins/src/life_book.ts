/** Which lives of endpoints there are, and which of them is met at an address. */
import type * as Ports from "@cairngate/ports";
import type * as lives from "./worker_life.ts";

/** Who listens where an order arrives. */
export enum Listener {
  /** The life that it was sent to, or one that was never heard of. */
  Meant = "meant",
  Another = "another",
  Nobody = "nobody",
}

/** Stands for the id of a life where nobody listens. */
const NOBODY = "";

/** The lives of one test. */
export class LifeBook {
  readonly #lives = new Map<string, lives.WorkerLife>();
  /** Ids of lives that have ended, and whether another one has followed. */
  readonly #ended = new Map<string, { isReplaced: boolean }>();
  /** Id of the life that was last said to live at each address. */
  readonly #atAddress = new Map<string, string>();

  /** All that live. */
  get all(): lives.WorkerLife[] {
    return [...this.#lives.values()];
  }

  /** The life under an id; undefined where none is. */
  get(id: string): lives.WorkerLife | undefined {
    return this.#lives.get(id);
  }

  /** A life begins; one that ended under its id is forgotten. */
  begin(life: lives.WorkerLife): void {
    this.#ended.delete(life.spec.id);
    this.#lives.set(life.spec.id, life);
  }

  /** A life begins where another one has ended. */
  replace(former: string, life: lives.WorkerLife): void {
    this.#lives.set(life.spec.id, life);
    const ended = this.#ended.get(former);
    if (ended !== undefined) ended.isReplaced = true;
  }

  /** A life ends. */
  end(id: string): void {
    this.#lives.delete(id);
    this.#ended.set(id, { isReplaced: false });
  }

  /** Says which life listens at an address; orders to others find it there. */
  livesAt(address: string, id: string): void {
    if (this.#lives.has(id)) this.#atAddress.set(address, id);
  }

  /** Nobody listens at an address any more. */
  vacate(address: string): void {
    this.#atAddress.set(address, NOBODY);
  }

  /** Who listens where an order to an endpoint arrives. */
  listenerAt(worker: Ports.EndpointRef): Listener {
    const ended = this.#ended.get(worker.id);
    if (ended !== undefined) {
      return ended.isReplaced ? Listener.Another : Listener.Nobody;
    }
    const there = this.#atAddress.get(worker.address) ?? worker.id;
    if (there === worker.id) return Listener.Meant;
    return this.#lives.has(there) ? Listener.Another : Listener.Nobody;
  }
}
