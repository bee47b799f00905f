/** Endpoints whose rooms shrink and grow, and what may start there. */
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** A shrunk room counts from then on, in ms: operators give contact and a beat. */
const ROOM_KNOWN_MS = 4500;

/** Rooms of the endpoints that shrink and grow, as their listings tell. */
export class ChangingRooms {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #sizes: readonly number[];
  readonly #changes: { id: string; atMs: number; room: number }[] = [];

  /** @param sizes accelerators of the endpoints, by the place of their address */
  constructor(
    fleet: fleets.TestFleet,
    options: { readonly seed: number; readonly sizes: readonly number[] },
  ) {
    this.#fleet = fleet;
    this.#sizes = options.sizes;
    // Draws of its own: the other faults of a seed stay as they are.
    this.#random = new randoms.SeededRandom(options.seed + 0.5);
    fleet.workers.guardsRoom = false;
  }

  /** One endpoint says that its room is another. */
  change(): void {
    const lives = this.#fleet.workers.listLives();
    if (lives.length === 0) return;
    const id = this.#random.choose(lives);
    this.#set(id, this.#random.between(0, this.#sizeOf(id)));
  }

  /** All endpoints have all of their room again. */
  restore(): void {
    for (const id of this.#fleet.workers.listLives()) {
      this.#set(id, this.#sizeOf(id));
    }
  }

  /** Starts that brought an endpoint over what it had said for long enough. */
  findViolations(): string[] {
    const { runs } = this.#fleet.workers;
    return runs.flatMap(({ task, run, worker, startedAtMs }) => {
      const held = runs.filter((note) =>
        note.worker === worker && note.startedAtMs <= startedAtMs &&
        (note.endedAtMs ?? Number.POSITIVE_INFINITY) > startedAtMs
      );
      const room = this.#roomAt(worker, startedAtMs);
      return held.length > room
        ? [`${task} run ${run}: ${held.length} on a room of ${room}`]
        : [];
    });
  }

  #set(id: string, room: number): void {
    const place = this.#fleet.placeOf(id);
    this.#fleet.list({ id, accelerators: room }, place);
    this.#changes.push({ id, atMs: this.#fleet.clock.monotonicMs(), room });
  }

  #sizeOf(id: string): number {
    return this.#sizes[this.#fleet.placeOf(id)];
  }

  /** The most that it has said of itself in the time that counts. */
  #roomAt(id: string, atMs: number): number {
    const own = this.#changes.filter((one) => one.id === id && one.atMs < atMs);
    const before = own.filter((one) => one.atMs <= atMs - ROOM_KNOWN_MS);
    const counted = own.slice(Math.max(0, before.length - 1));
    const rooms = counted.map(({ room }) => room);
    if (before.length === 0) rooms.push(this.#sizeOf(id));
    return Math.max(...rooms);
  }
}
