/** Metrics of a process. */
import * as Hdr from "hdr-histogram-js";

/** Exported percentiles; 100 is the maximum. */
const PERCENTILES: readonly number[] = [50, 95, 99, 100];
const MAX_DURATION_MS = 3_600_000;

interface Series {
  readonly type: "counter" | "gauge";
  readonly values: Map<string, number>;
}

/** Label values of a series, by label name. */
export type Labels = Readonly<Record<string, string>>;

/** Registry of named counters, gauges and histograms. */
export class Metrics {
  readonly #series = new Map<string, Series>();
  readonly #histograms = new Map<string, Hdr.Histogram>();
  readonly #sums = new Map<string, number>();

  /** Increments a counter. Names end in `_total`. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const series = this.#findOrCreate(name, "counter");
    const key = formatLabels(labels);
    series.values.set(key, (series.values.get(key) ?? 0) + by);
  }

  /** Sets a gauge. */
  set(name: string, value: number, labels: Labels = {}): void {
    this.#findOrCreate(name, "gauge").values.set(formatLabels(labels), value);
  }

  /** Returns the value of a counter or gauge; 0 if it was never set. */
  get(name: string, labels: Labels = {}): number {
    return this.#series.get(name)?.values.get(formatLabels(labels)) ?? 0;
  }

  /** Records a duration in milliseconds. Names end in `_seconds`, the exported unit. */
  observeMs(name: string, ms: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = Hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_DURATION_MS * 1000,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 64,
      });
      this.#histograms.set(name, histogram);
    }
    const micros = Math.max(
      1,
      Math.min(MAX_DURATION_MS * 1000, Math.round(ms * 1000)),
    );
    histogram.recordValue(micros);
    this.#sums.set(name, (this.#sums.get(name) ?? 0) + ms / 1000);
  }

  /** Returns a percentile (0 to 100) of a histogram in milliseconds; 0 without data. */
  quantileMs(name: string, percentile: number): number {
    const histogram = this.#histograms.get(name);
    if (histogram === undefined) return 0;
    return histogram.getValueAtPercentile(percentile) / 1000;
  }

  /** Returns all metrics as Prometheus text. */
  format(): string {
    const lines: string[] = [];
    for (const [name, series] of this.#series) {
      lines.push(`# TYPE ${name} ${series.type}`);
      for (const [labels, value] of series.values) {
        lines.push(`${name}${labels} ${value}`);
      }
    }
    for (const [name, histogram] of this.#histograms) {
      lines.push(...this.#printHistogram(name, histogram));
    }
    return lines.join("\n") + "\n";
  }

  #printHistogram(name: string, histogram: Hdr.Histogram): string[] {
    const lines = [`# TYPE ${name} summary`];
    for (const percentile of PERCENTILES) {
      const seconds = histogram.getValueAtPercentile(percentile) / 1e6;
      lines.push(`${name}{quantile="${percentile / 100}"} ${seconds}`);
    }
    lines.push(`${name}_sum ${this.#sums.get(name) ?? 0}`);
    lines.push(`${name}_count ${histogram.totalCount}`);
    return lines;
  }

  #findOrCreate(name: string, type: "counter" | "gauge"): Series {
    let series = this.#series.get(name);
    if (series === undefined) {
      series = { type, values: new Map() };
      this.#series.set(name, series);
    }
    return series;
  }
}

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(([k, v]) =>
    `${k}=${JSON.stringify(v)}`
  );
  return parts.length === 0 ? "" : `{${parts.join(",")}}`;
}
