/** Scheduler of one cell: takes events and returns decisions as plain data. */
export {
  type CellLayout,
  createCellLayout,
  findWorkerIndex,
} from "./src/layout.ts";
export {
  AgedShortestFirst,
  ArrivalOrder,
  type OrderInput,
  OrderPolicy,
} from "./src/order_policy.ts";
export { BestFit, FirstFit, PackingPolicy } from "./src/packing_policy.ts";
export {
  createPolicies,
  POLICY_NAMES,
  type PolicyName,
  type SchedulerPolicies,
} from "./src/policies.ts";
export { checkGuarantees, listDemands } from "./src/check_guarantees.ts";
export { type RestoreOptions, Scheduler } from "./src/scheduler.ts";
export { describeCell } from "./src/describe_cell.ts";
export {
  type RequeueOptions,
  SchedulerCore,
  type SubmitOptions,
} from "./src/scheduler_core.ts";
