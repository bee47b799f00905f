/** Divides rows into pages in key order. */
import type * as Ports from "@cairngate/ports";

/** Returns the requested page of the rows. */
export function selectPage(
  rows: readonly Ports.Row[],
  { from, most }: Ports.PageRequest,
): Ports.RowPage {
  const remaining = rows
    .filter(({ key }) => from === null || key >= from)
    .sort((a, b) => a.key < b.key ? -1 : 1);
  const next = remaining[most]?.key ?? null;
  return { items: remaining.slice(0, most), next };
}
