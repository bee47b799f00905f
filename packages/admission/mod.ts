/** Admission control: rejects work that can not be useful under hard load. */
export {
  type Decision,
  Doubt,
  type JobShape,
  type Known,
  shapeOf,
  type TeamState,
  Verdict,
} from "./src/job_shape.ts";
export { needOf } from "./src/amounts.ts";
export { decideAdmission } from "./src/decide.ts";
export {
  type Forecast,
  POINTS_MS,
  type RoomAhead,
  type ServiceForecast,
  STALE_MS,
  SURE_SHARE,
} from "./src/forecast.ts";
export { readForecast, writeForecast } from "./src/forecast_text.ts";
export {
  type EndpointSize,
  type Load,
  type Run,
  type Wait,
} from "./src/load.ts";
export { makeForecast } from "./src/make_forecast.ts";
export { ReturnBook } from "./src/return_book.ts";
export { ShareBook } from "./src/share_book.ts";
