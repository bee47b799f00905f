/** Cuts rows into pages, in the order of their keys. */
import type * as Ports from "@cairngate/ports";

/** The page that was asked for. */
export function cutPage(
  rows: readonly Ports.Row[],
  { from, most }: Ports.PageRequest,
): Ports.RowPage {
  const left = rows
    .filter(({ key }) => from === null || key >= from)
    .sort((a, b) => a.key < b.key ? -1 : 1);
  const next = left[most]?.key ?? null;
  return { items: left.slice(0, most), next };
}
