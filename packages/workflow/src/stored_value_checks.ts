/** Type checks of values read from the store, where any program may have written them. */

/** An object of unknown fields. */
export type Fields = Readonly<Record<string, unknown>>;

/** Checks the type of a value. */
export type Check = (value: unknown) => boolean;

/** Whether a value is an object and no list. */
export function isFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Whether a value is a string. */
export function isText(value: unknown): value is string {
  return typeof value === "string";
}

/** Whether a value is a boolean. */
export function isFlag(value: unknown): value is boolean {
  return typeof value === "boolean";
}

/** Whether a value is a number that is neither infinite nor NaN. */
export function isFiniteNumber(value: unknown): value is number {
  return Number.isFinite(value);
}

/** Whether a value is an integer of at least 0 that is represented exactly. */
export function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Creates a check that null passes too. */
export function nullOr(check: Check): Check {
  return (value) => value === null || check(value);
}

/** Creates a check that an absent value passes too. */
export function optional(check: Check): Check {
  return (value) => value === undefined || check(value);
}

/** Creates a check of a list and each of its items. */
export function listOf(check: Check): Check {
  return (value) => Array.isArray(value) && value.every((item) => check(item));
}

/** Creates a check of an object and the value of each of its fields. */
export function recordOf(check: Check): Check {
  return (value) => isFields(value) && Object.values(value).every(check);
}

/** The first field whose value fails its check; null if there is none. */
export function findWrongField(
  value: Fields,
  checks: Readonly<Record<string, Check>>,
): string | null {
  const wrong = Object.entries(checks).find(([name, check]) =>
    !check(value[name])
  );
  return wrong?.[0] ?? null;
}

/** Creates a check of an object by its fields; other fields are ignored. */
export function fieldsOf(checks: Readonly<Record<string, Check>>): Check {
  return (value) => isFields(value) && findWrongField(value, checks) === null;
}
