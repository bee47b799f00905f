/** Limits how deeply values are nested, because encoders call themselves per level. */

/** Whether a value has more levels of lists and objects than these. */
export function isNestedDeeper(value: unknown, levels: number): boolean {
  if (typeof value !== "object" || value === null) return false;
  if (levels === 0) return true;
  return Object.values(value).some((item) => isNestedDeeper(item, levels - 1));
}
