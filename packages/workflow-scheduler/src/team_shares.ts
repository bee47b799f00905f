/**
 * Compares the recent use of the fleet by each team with the share it has paid for, for
 * loads in which the queue of one large team could fill the fleet.
 */
import type * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";

/** Coarse level of a team's use; within a level, objectives decide. */
export enum ShareLevel {
  Below = 0,
  Within = 1,
  Above = 2,
}

/** Entitlement and recent use of one team. */
export interface TeamShare {
  /** Share of the fleet that the team is entitled to, 0 to 1. */
  readonly weight: number;
  /** Recent share of the fleet, as a decaying average, 0 to 1. */
  readonly use: number;
  readonly level: ShareLevel;
}

/** Entitlement and use by team. */
export type TeamShares = ReadonlyMap<string, TeamShare>;

/** Shares of the fleet by team, 0 to 1. */
export type Amounts = ReadonlyMap<string, number>;

/**
 * Half-life of use, in ms: about the length of a typical run. A shorter one would
 * forget use while the work still runs; a much longer one would count work that no
 * longer delays anyone.
 */
export const HALF_LIFE_MS = 10_000;

/**
 * Ratios of use to entitlement. A level starts a quarter away from 1, so that a single
 * workflow does not change it, and ends at 1.
 */
const ABOVE_FROM_RATIO = 1.25;
const BELOW_UNDER_RATIO = 0.75;
const ENDS_RATIO = 1;

/** Use below which a team is dropped, so that removed teams do not accumulate. */
const MIN_USE = 1e-6;

/** Shares of the fleet that teams are entitled to; their sum is 1. */
export function weightsOf(guarantees: ReadonlyMap<string, number>): Amounts {
  const paid = [...guarantees.values()].filter((one) => one > 0);
  // A team without a guarantee gets the smallest share of those that have one.
  const smallestWeight = Math.min(...paid, Number.MAX_VALUE);
  const weights = [...guarantees].map(([team, guaranteed]) =>
    [
      team,
      paid.length === 0 ? 1 : Math.max(guaranteed, smallestWeight),
    ] as const
  );
  const all = weights.reduce((sum, [, weight]) => sum + weight, 0);
  return new Map(weights.map(([team, weight]) => [team, weight / all]));
}

/** Share of the fleet that each team uses now, by its most used resource. */
export function sharesHeld(
  endpoints: readonly fleet.EndpointSnapshot[],
): Amounts {
  const all = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  const byTeam = new Map<string, typeof all>();
  for (const { total, tasks } of endpoints) {
    addResources(all, total, true);
    for (const { step, workflow } of tasks) {
      const team = workflow.spec.tenant;
      const held = byTeam.get(team) ??
        { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
      addResources(held, step, !step.fills);
      byTeam.set(team, held);
    }
  }
  const shareOf = (held: number, of: number) => of === 0 ? 0 : held / of;
  return new Map(
    [...byTeam].map(([team, held]) => [
      team,
      Math.max(
        shareOf(held.cpuMillis, all.cpuMillis),
        shareOf(held.memoryMb, all.memoryMb),
        shareOf(held.accelerators, all.accelerators),
      ),
    ]),
  );
}

function addResources(
  sum: { -readonly [K in keyof Workflow.Resources]: number },
  amounts: Workflow.Resources,
  countsCpu: boolean,
): void {
  if (countsCpu) sum.cpuMillis += amounts.cpuMillis;
  sum.memoryMb += amounts.memoryMb;
  sum.accelerators += amounts.accelerators;
}

/** Decays the use of teams and adds the shares held during the elapsed time. */
export function decayUse(
  before: Amounts,
  held: Amounts,
  elapsedMs: number,
): Amounts {
  const decay = 0.5 ** (Math.max(0, elapsedMs) / HALF_LIFE_MS);
  const teams = new Set([...before.keys(), ...held.keys()]);
  const use = new Map<string, number>();
  for (const team of teams) {
    const earlier = before.get(team) ?? 0;
    const now = held.get(team) ?? 0;
    const sum = earlier * decay + now * (1 - decay);
    if (sum > MIN_USE) use.set(team, sum);
  }
  return use;
}

/** Computes the levels of all teams, with hysteresis on their previous levels. */
export function computeShares(
  weights: Amounts,
  use: Amounts,
  before: TeamShares,
): TeamShares {
  const teams = new Set([...weights.keys(), ...use.keys()]);
  const smallestWeight = Math.min(...weights.values(), 1);
  const shares = new Map<string, TeamShare>();
  for (const team of teams) {
    const weight = weights.get(team) ?? smallestWeight;
    const used = use.get(team) ?? 0;
    const previous = before.get(team)?.level ?? ShareLevel.Below;
    const rawLevel = levelOf(used / weight, previous);
    // A team that uses less than an equal part of the fleet does not crowd others out.
    const hasLessThanEqualPart = used * teams.size < 1;
    const level = hasLessThanEqualPart
      ? Math.min(rawLevel, ShareLevel.Within)
      : rawLevel;
    shares.set(team, { weight, use: used, level });
  }
  return shares;
}

function levelOf(ratio: number, previous: ShareLevel): ShareLevel {
  if (ratio >= ABOVE_FROM_RATIO) return ShareLevel.Above;
  if (ratio < BELOW_UNDER_RATIO) return ShareLevel.Below;
  if (previous === ShareLevel.Above && ratio > ENDS_RATIO) return previous;
  if (previous === ShareLevel.Below && ratio < ENDS_RATIO) return previous;
  return ShareLevel.Within;
}

/** Level of a team; a team without recorded use counts as below its share. */
export function levelOfTeam(shares: TeamShares, team: string): ShareLevel {
  return shares.get(team)?.level ?? ShareLevel.Below;
}

/** Whether a team has used clearly less than it is entitled to. */
export function isBelowShare(shares: TeamShares, team: string): boolean {
  return levelOfTeam(shares, team) === ShareLevel.Below;
}
