/**
 * Decodes rows that hold a fencing token. Any program may have written them, and a
 * wrong token that is taken for the newest one would keep all boxes from coordinating.
 */
import type * as terms from "./term.ts";

/**
 * Largest valid token. Terms can't reach it, and tokens up to it are exact, so that
 * each term still gets a higher one.
 */
const MAX_TOKEN = 2 ** 48;

/** Decodes the coordinator row; null if it is absent or not one. */
export function decodeCoordinatorRow(
  value: unknown,
): terms.CoordinatorRow | null {
  if (typeof value !== "object" || value === null) return null;
  const row = value as Partial<Record<keyof terms.CoordinatorRow, unknown>>;
  const { token, holder, incarnation, successor = "" } = row;
  const isValid = isToken(token) && typeof holder === "string" &&
    typeof incarnation === "string" && typeof successor === "string";
  return isValid ? value as terms.CoordinatorRow : null;
}

/** The token of a fence row; 0 if it is absent or not one. */
export function decodeFence(value: unknown): number {
  if (typeof value !== "object" || value === null) return 0;
  const { token } = value as { readonly token?: unknown };
  return isToken(token) ? token : 0;
}

function isToken(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) >= 0 &&
    Number(value) <= MAX_TOKEN;
}
