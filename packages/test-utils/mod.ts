/** Fakes, builders and fault simulations for tests. */
export {
  buildDeployment,
  buildJobShape,
  buildTeam,
  printDeployment,
} from "./src/builders.ts";
export { buildEnded, writeEnded } from "./src/ended_workflows.ts";
export { FakeClock } from "./src/fake_clock.ts";
export { cancelAt, type CancelCall } from "./src/fleet_callers.ts";
export { findFreeAddress, findFreePort } from "./src/free_address.ts";
export { completeBeforeLateStart } from "./src/late_start.ts";
export { filterOrders } from "./src/order_filter.ts";
export { RecordingLog } from "./src/recording_log.ts";
export { FakePeerHub } from "./src/fake_store_peers.ts";
export { FakeNetwork, NetworkHub } from "./src/fake_network.ts";
export {
  type AnswerRule,
  FaultyEndpoints,
  Loss,
} from "./src/faulty_workers.ts";
export { PausableClock } from "./src/pausable_clock.ts";
export { SuspendableClock } from "./src/suspendable_clock.ts";
export { SeededRandom } from "./src/seeded_random.ts";
export { SilentProxy, type SilentTraffic } from "./src/silent_proxy.ts";
export { TestCluster } from "./src/test_cluster.ts";
export {
  buildAccess,
  buildAccessWithAttempts,
  buildStep,
  EVACUATION_IN_FORCE_MS,
  FLEET_BOUNDS,
  RESTART_DELAY_MS,
  TestFleet,
} from "./src/test_fleet.ts";
export {
  type CutOutcome,
  type CutScenario,
  DEFAULT_CUTS,
  simulateCuts,
} from "./src/cut_simulation.ts";
export { type CutSchedule, EndpointCuts } from "./src/endpoint_cuts.ts";
export { Evacuations } from "./src/evacuations.ts";
export { CapacityChanges } from "./src/capacity_changes.ts";
export { GREY_FAILS_MS, GreyEndpoints } from "./src/grey_endpoints.ts";
export {
  checkFailedWorkflow,
  CRASHING_ID_PREFIX,
  findRunViolations,
} from "./src/run_checks.ts";
export { Suspensions } from "./src/suspensions.ts";
export {
  isUnresolvedFailure,
  SIMULATION_KINDS,
  UNRESOLVED_FAILURES,
  type UnresolvedFailure,
} from "./src/simulation_kinds.ts";
export { faultSeeds } from "./src/fault_seeds.ts";
export {
  type FaultOptions,
  simulateRandomFaults,
} from "./src/random_fault_simulation.ts";
export {
  simulateSlowEnds,
  type SlowEndOptions,
} from "./src/slow_end_simulation.ts";
