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
export { KeptLog } from "./src/kept_log.ts";
export { FakePeerHub } from "./src/fake_store_peers.ts";
export { FakeNetwork, NetworkHub } from "./src/fake_network.ts";
export { type AnswerRule, FaultyWorkers, Loss } from "./src/faulty_workers.ts";
export { PausableClock } from "./src/pausable_clock.ts";
export { SeededRandom } from "./src/seeded_random.ts";
export { SilentProxy, type SilentTraffic } from "./src/silent_proxy.ts";
export { TestCluster } from "./src/test_cluster.ts";
export {
  buildAccess,
  buildStep,
  CRASH_BACK_MS,
  EVACUATION_IN_FORCE_MS,
  FLEET_BOUNDS,
  TestFleet,
} from "./src/test_fleet.ts";
export {
  type CutOutcome,
  type CutPlay,
  playCuts,
  USUAL_CUTS,
} from "./src/cut_play.ts";
export { type CutShape, EndpointCuts } from "./src/endpoint_cuts.ts";
export { Evacuations } from "./src/evacuations.ts";
export { CapacityChanges } from "./src/changing_rooms.ts";
export { GREY_FAILS_MS, GreyEndpoints } from "./src/grey_endpoints.ts";
export { checkFailed, CRASHER, findBrokenRuns } from "./src/run_checks.ts";
export { Suspensions } from "./src/suspensions.ts";
export {
  isRed,
  PLAY_KINDS,
  UNRESOLVED_FAILURES,
  type UnresolvedFailure,
} from "./src/play_kinds.ts";
export { faultSeeds } from "./src/fault_seeds.ts";
export { type FaultOptions, playRandomFaults } from "./src/random_play.ts";
export { playSlowEnds, type SlowPlayOptions } from "./src/slow_play.ts";
