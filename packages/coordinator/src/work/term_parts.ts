/** Creates the parts of one term and connects them. */
import * as monitors from "../endpoints/run_monitor.ts";
import * as forecasts from "../load/forecast_maker.ts";
import * as hardLoads from "../load/hard_load_detector.ts";
import * as estimates from "../load/run_estimates.ts";
import * as shareTrackers from "../load/team_share_tracker.ts";
import * as directories from "../endpoints/endpoint_directory.ts";
import * as memoryMeters from "../load/memory_meter.ts";
import type * as terms from "../election/term.ts";
import type * as ports from "../ports.ts";
import * as advice from "./advice_cache.ts";
import * as guarantees from "./guarantee_watch.ts";
import type * as intakes from "./intake.ts";
import * as fences from "./partition_fences.ts";
import * as plannings from "./planning.ts";
import * as queueRoutings from "./queue_routings.ts";
import * as recorders from "./recorder.ts";
import * as recoveries from "./recovery.ts";
import * as removers from "./row_remover.ts";
import * as controls from "./run_control.ts";
import * as runEnds from "./run_ends.ts";
import * as registries from "./workflow_registry.ts";
import * as workflowIntakes from "./workflow_intake.ts";

/** Dependencies of the parts of a term. */
export interface TermPartsOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  /** Called before each plan; returns false to skip it. */
  readonly preparePlan: () => boolean;
  /** Whether all intake rows are known, also after the history was lost. */
  readonly isIntakeCaughtUp: () => boolean;
}

/** The parts that read, hold and write the stored state. */
interface RecordParts {
  readonly recovery: recoveries.Recovery;
  readonly recorder: recorders.Recorder;
  readonly workflows: registries.WorkflowRegistry;
}

/** The parts of a term that the coordinator uses. */
export interface TermParts extends RecordParts {
  readonly directory: directories.EndpointDirectory;
  readonly control: controls.RunControl;
  readonly intake: workflowIntakes.WorkflowIntake;
  readonly ends: runEnds.RunEnds;
  readonly monitor: monitors.RunMonitor;
  readonly guarantees: guarantees.GuaranteeWatch;
  readonly planning: plannings.Planning;
  readonly hardLoad: hardLoads.HardLoadDetector;
  readonly estimates: estimates.RunEstimates;
  readonly shares: shareTrackers.TeamShareTracker;
  readonly forecasts: forecasts.ForecastMaker;
}

/** Creates the parts of one term. */
export function createParts(options: TermPartsOptions): TermParts {
  const { ports: coordinatorPorts, term, preparePlan: prepare } = options;
  // Callbacks refer to parts created later; none is called before all are created.
  const records = createRecords(options, (request) => intake.cancel(request));
  const { recovery, recorder, workflows } = records;
  const adviceCache = new advice.AdviceCache({
    advisor: coordinatorPorts.advisor,
    clock: coordinatorPorts.clock,
    onAdvice: () => planning.requestPlan(),
  });
  const hardLoad = new hardLoads.HardLoadDetector(coordinatorPorts);
  const runEstimates = new estimates.RunEstimates({
    clock: coordinatorPorts.clock,
    siteOf: (id) => directory.siteOf(id),
    onSingleTaskDone: (assignment, tookMs) =>
      directory.learnFrom(assignment, tookMs),
  });
  const ends = new runEnds.RunEnds({
    ports: coordinatorPorts,
    recorder,
    workflows,
    control: () => control,
    onCompleted: (assignment) => runEstimates.noteDone(assignment),
    onTicketRejected: ({ task, ticket }, endpoint) =>
      adviceCache.dropTicket(task, endpoint, ticket),
    onEndpointRestarted: (id) => {
      directory.noteNewIncarnation(id);
      adviceCache.evictEndpoint(id);
    },
    onCapacityChange: () => planning.requestPlan(),
  });
  const directory = new directories.EndpointDirectory({
    ports: coordinatorPorts,
    term,
    listener: ends,
    recovery,
    doEndpointsDiffer: () => hardLoad.load.endpointsDiffer,
  });
  const shared = { ports: coordinatorPorts, directory, advice: adviceCache };
  const control = new controls.RunControl({ ...shared, recorder });
  const intake = new workflowIntakes.WorkflowIntake({
    ports: coordinatorPorts,
    recorder,
    workflows,
    control,
  });
  const shares = new shareTrackers.TeamShareTracker(coordinatorPorts, term);
  const planning = new plannings.Planning({
    ...shared,
    hardLoad,
    estimates: runEstimates,
    shares,
    control,
    startable: () => workflows.startable,
    awaitingRecord: () => workflows.awaitingRecord,
    prepare,
  });
  return {
    ...records,
    directory,
    control,
    intake,
    ends,
    monitor: new monitors.RunMonitor(coordinatorPorts, directory, control),
    guarantees: new guarantees.GuaranteeWatch(coordinatorPorts, directory),
    planning,
    hardLoad,
    estimates: runEstimates,
    shares,
    forecasts: new forecasts.ForecastMaker({
      ports: coordinatorPorts,
      term,
      directory,
      hardLoad,
      live: () => workflows.startable,
    }),
  };
}

function createRecords(
  { ports: coordinatorPorts, term, isIntakeCaughtUp }: TermPartsOptions,
  onCancelled: (request: intakes.CancelRequest) => void,
): RecordParts {
  const partitionFences = new fences.PartitionFences(coordinatorPorts, term);
  const recovery = new recoveries.Recovery(
    coordinatorPorts,
    term,
    partitionFences,
  );
  const recorder = new recorders.Recorder({
    ports: coordinatorPorts,
    term,
    fences: partitionFences,
    onCancelled,
  });
  const memory = new memoryMeters.MemoryMeter(coordinatorPorts);
  term.memoryUse = () =>
    memoryMeters.publishedUse([
      memory.use,
      recovery.isComplete ? null : term.inheritedMemoryUse,
    ]);
  const workflows = new registries.WorkflowRegistry({
    memory,
    isIntakeCaughtUp,
    routings: new queueRoutings.QueueRoutings(coordinatorPorts),
    ports: coordinatorPorts,
    remover: new removers.RowRemover(coordinatorPorts, partitionFences),
    recorder,
    recovery,
  });
  return { recovery, recorder, workflows };
}
