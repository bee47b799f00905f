/** Waiting jobs, in lanes of jobs with equal requirements. */
import * as Types from "@cairngate/types";
import TinyQueue from "tinyqueue";
import * as entries from "./job_entry.ts";

/** Time between two attempts of a lane on all racks. */
const FULL_TRY_INTERVAL_MS = 20_000;
/** Lanes that are unblocked for all racks in one round; bounds its duration. */
const MAX_FULL_TRIES_PER_ROUND = 8;

/** Waiting jobs of one team, tier and shape; the smallest key goes first. */
export class Lane {
  readonly name: string;
  readonly team: string;
  readonly tierRank: number;
  readonly #heap: TinyQueue<entries.JobEntry>;
  /** Count of releases when the head last did not fit; -1 to try all racks. */
  blockedAtRelease = -1;
  /** When the lane was last unblocked for all racks. */
  fullyTriedAtMs = -Infinity;
  /** Whether the quota blocked the head, so that no rack was searched. */
  isBlockedByQuota = false;

  constructor(name: string, first: entries.JobEntry) {
    this.name = name;
    this.team = first.shape.team;
    this.tierRank = Types.rankTier(first.shape.tier);
    this.#heap = new TinyQueue<entries.JobEntry>([], entries.compareOrder);
  }

  /** The next job to try; drops jobs that no longer wait. */
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

  /** Removes the head. */
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

  /** Lanes with a waiting job; removes the empty ones. */
  lanes(): Lane[] {
    const filled: Lane[] = [];
    for (const lane of this.#lanes.values()) {
      if (lane.head() === undefined) this.#lanes.delete(lane.name);
      else filled.push(lane);
    }
    return filled;
  }

  /** Lanes whose head may fit now, in the order to try them. */
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
   * Unblocks a few lanes that have not been tried on all racks for a while:
   * reservations and costs change with time too, not only with releases.
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

  /** Unblocks every lane: the next round tries each on all racks. */
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
