/** Admission control: rejects work that can not be useful under hard load. */
export {
  type Decision,
  type JobShape,
  type KnownForecast,
  type TeamState,
  toJobShape,
  UncheckedReason,
  Verdict,
} from "./src/job_shape.ts";
export { reservedResources } from "./src/amounts.ts";
export { decideAdmission } from "./src/decide.ts";
export {
  type Forecast,
  MIN_ESTIMATE_FACTOR,
  type PriorityCapacity,
  type ServiceForecast,
  SPAN_STARTS_MS,
  STALE_MS,
} from "./src/forecast.ts";
export { readForecast, writeForecast } from "./src/forecast_codec.ts";
export {
  type EndpointSize,
  type Load,
  type RunningTask,
  type WaitingTasks,
} from "./src/load.ts";
export { makeForecast } from "./src/make_forecast.ts";
export { RetrySchedule } from "./src/retry_schedule.ts";
export { CapacityReservations } from "./src/capacity_reservations.ts";
export {
  findMemoryWaitMs,
  type KnownMemoryUse,
  type MemoryRequest,
  type MemoryUse,
  MIN_PUBLISHED_SHARE,
} from "./src/memory_use.ts";
