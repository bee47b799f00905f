/** The kinds of random plays, and seeds that are still red. */
import type * as plays from "./random_play.ts";

/** Kinds of plays, each with tests of its own. */
export const PLAY_KINDS = {
  usual: {},
  rooms: { changesRooms: true },
  lapses: { cutsEndpoints: true, foreignEntries: true, crashesInGroups: true },
  suspensions: { suspends: true },
  rebirths: { beginsAgain: true },
  slowEnds: { endsTakeTime: true },
  slowEndsAndCuts: {
    endsTakeTime: true,
    cutsEndpoints: true,
    foreignEntries: true,
    beginsAgain: true,
  },
  rebirthsAndCuts: { beginsAgain: true, cutsEndpoints: true, suspends: true },
} satisfies Record<string, plays.PlayKinds>;

/** A play that is red. */
export interface RedPlay {
  readonly name: keyof typeof PLAY_KINDS;
  readonly seed: number;
  readonly kinds: plays.PlayKinds;
}

function redPlays(
  name: keyof typeof PLAY_KINDS,
  seeds: readonly number[],
): RedPlay[] {
  return seeds.map((seed) => ({ name, seed, kinds: PLAY_KINDS[name] }));
}

/** Work that crashes its endpoints is started once too often. */
export const OVERDRAWN_PLAYS: readonly RedPlay[] = redPlays(
  "rebirths",
  [122, 123, 150],
);

/** Work that did nothing is given up. */
export const GIVEN_UP_PLAYS: readonly RedPlay[] = [
  ...redPlays("lapses", [10]),
  ...redPlays("rebirths", [174, 187]),
];

/** Whether a play is red; it is played with its like then (overdrawn_starts_test.ts). */
export function isRed(name: keyof typeof PLAY_KINDS, seed: number): boolean {
  return [...OVERDRAWN_PLAYS, ...GIVEN_UP_PLAYS].some((one) =>
    one.name === name && one.seed === seed
  );
}
