/** Counters, gauges and histograms, exported as Prometheus text. */
export { Metrics } from "./src/metrics.ts";
