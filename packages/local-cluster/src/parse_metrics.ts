/** Parser of the Prometheus text format. */

/** Returns values by metric name, summed over labels; quantile lines are skipped. */
export function parseMetrics(text: string): Map<string, number> {
  const values = new Map<string, number>();
  for (const line of text.split("\n")) {
    if (line === "" || line.startsWith("#")) continue;
    if (line.includes("quantile=")) continue;
    const space = line.lastIndexOf(" ");
    const name = line.slice(0, space).replace(/\{.*\}$/, "");
    const value = Number(line.slice(space + 1));
    values.set(name, (values.get(name) ?? 0) + value);
  }
  return values;
}
