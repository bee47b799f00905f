/** Waiting jobs, in lanes of jobs that compete for the same thing. */
import * as Types from "@cairngate/types";
import TinyQueue from "tinyqueue";
import * as entries from "./job_entry.ts";

/** Time between two tries of a lane on every rack. */
const FULL_TRY_INTERVAL_MS = 20_000;
/** Lanes tried on every rack in one round, so that no round takes long. */
const MAX_FULL_TRIES_PER_ROUND = 8;

/** Waiting jobs of one team, tier and shape, smallest key first. */
export class Lane {
  readonly name: string;
  readonly team: string;
  readonly tierRank: number;
  readonly #heap: TinyQueue<entries.JobEntry>;
  /** Count of releases when the head last failed to fit; -1 if never. */
  blockedAtRelease = -1;
  /** When the head was last tried on every rack. */
  fullyTriedAtMs = -Infinity;
  /** The quota stood in the way, so no rack was looked at. */
  isBlockedByQuota = false;

  constructor(name: string, first: entries.JobEntry) {
    this.name = name;
    this.team = first.shape.team;
    this.tierRank = Types.rankTier(first.shape.tier);
    this.#heap = new TinyQueue<entries.JobEntry>([], entries.compareOrder);
  }

  /** The next job to try; removed jobs are skipped. */
  head(): entries.JobEntry | undefined {
    let top = this.#heap.peek();
    while (top !== undefined && top.state !== Types.JobState.Waiting) {
      this.#heap.pop();
      top = this.#heap.peek();
    }
    return top;
  }

  /** Adds a job. */
  push(entry: entries.JobEntry): void {
    const before = this.head();
    this.#heap.push(entry);
    if (this.head() !== before) this.blockedAtRelease = -1;
  }

  /** Takes out the head. */
  pop(): void {
    this.#heap.pop();
    this.blockedAtRelease = -1;
  }
}

/** All lanes of a cell. */
export class JobQueue {
  readonly #lanes = new Map<string, Lane>();

  /** Adds a waiting job to its lane. */
  push(entry: entries.JobEntry): void {
    const name = laneName(entry.shape);
    let lane = this.#lanes.get(name);
    if (lane === undefined) {
      lane = new Lane(name, entry);
      this.#lanes.set(name, lane);
    }
    lane.push(entry);
  }

  /** Lanes that have a waiting job; empty ones are forgotten. */
  lanes(): Lane[] {
    const filled: Lane[] = [];
    for (const lane of this.#lanes.values()) {
      if (lane.head() === undefined) this.#lanes.delete(lane.name);
      else filled.push(lane);
    }
    return filled;
  }

  /** Lanes that may start something now, in the order to try them. */
  unblockedLanes(releases: number, keyOf: (lane: Lane) => number): Lane[] {
    const unblocked = this.lanes()
      .filter((lane) => lane.blockedAtRelease !== releases)
      .map((lane) => ({ lane, key: keyOf(lane) }));
    unblocked.sort((a, b) =>
      a.lane.tierRank - b.lane.tierRank || a.key - b.key
    );
    return unblocked.map((o) => o.lane);
  }

  /**
   * Reservations and costs change with time, not only with releases, so every
   * lane is tried on all racks now and then; a few in each round.
   */
  unblockSome(nowMs: number): void {
    let left = MAX_FULL_TRIES_PER_ROUND;
    for (const lane of this.lanes()) {
      if (nowMs - lane.fullyTriedAtMs < FULL_TRY_INTERVAL_MS) continue;
      lane.fullyTriedAtMs = nowMs;
      lane.blockedAtRelease = -1;
      left--;
      if (left === 0) return;
    }
  }

  /** Has every lane tried on all racks in the next round. */
  unblockAll(): void {
    for (const lane of this.lanes()) lane.blockedAtRelease = -1;
  }
}

function laneName(shape: Types.JobShape): string {
  const parts = [
    shape.team,
    shape.tier,
    shape.accelerators,
    shape.gang,
    shape.adjacency,
    shape.repeatable,
  ];
  return parts.join("/");
}
