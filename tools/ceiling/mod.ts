/** Upper bound of the score of a simulated day. */
export {
  type Bound,
  computeBound,
  findOutages,
  type Span,
} from "./src/ceiling.ts";
export {
  type DayReport,
  MalformedReport,
  readReport,
} from "./src/day_report.ts";
