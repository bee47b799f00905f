/** Measures the slopes behind docs/CAPACITY.md. */
export { type Measurement, runMeasurements } from "./src/run_measurements.ts";
export { fitLine, type LineFit } from "./src/fit_line.ts";
