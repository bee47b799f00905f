/** Measures the resource use behind the figures of docs/CAPACITY.md. */
export { type Measurement, runMeasurements } from "./src/run_measurements.ts";
export { fitLine, type LineFit } from "./src/fit_line.ts";
