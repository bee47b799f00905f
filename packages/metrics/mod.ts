/** Counters, gauges and histograms, printed as Prometheus text. */
export { Metrics } from "./src/metrics.ts";
