/** The parts of one term, each with its one job, wired to each other. */
import * as watches from "../endpoints/run_watch.ts";
import * as forecasts from "../load/forecast_maker.ts";
import * as hardLoads from "../load/hard_load_watch.ts";
import * as estimates from "../load/run_estimates.ts";
import * as shareBooks from "../load/share_book.ts";
import * as directories from "../endpoints/endpoint_directory.ts";
import type * as terms from "../election/term.ts";
import type * as ports from "../ports.ts";
import * as advice from "./advice_book.ts";
import * as guarantees from "./guarantee_watch.ts";
import type * as intakes from "./intake.ts";
import * as fences from "./partition_fences.ts";
import * as plannings from "./planning.ts";
import * as recorders from "./recorder.ts";
import * as recoveries from "./recovery.ts";
import * as controls from "./run_control.ts";
import * as runEnds from "./run_ends.ts";
import * as books from "./workflow_book.ts";
import * as workflowIntakes from "./workflow_intake.ts";

/** What they are made for. */
export interface TermPartsOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  /** Done before each plan; false: no plan now. */
  readonly preparePlan: () => boolean;
}

/** The records of a term: what is kept, read and written. */
interface Records {
  readonly recovery: recoveries.Recovery;
  readonly recorder: recorders.Recorder;
  readonly book: books.WorkflowBook;
}

/** The parts that the coordinator calls. */
export interface TermParts extends Records {
  readonly directory: directories.EndpointDirectory;
  readonly control: controls.RunControl;
  readonly intake: workflowIntakes.WorkflowIntake;
  readonly ends: runEnds.RunEnds;
  readonly watch: watches.RunWatch;
  readonly guarantees: guarantees.GuaranteeWatch;
  readonly planning: plannings.Planning;
  readonly hardLoad: hardLoads.HardLoadWatch;
  readonly estimates: estimates.RunEstimates;
  readonly shares: shareBooks.ShareBook;
  readonly forecasts: forecasts.ForecastMaker;
}

/** Makes the parts of one term. */
export function wireParts(options: TermPartsOptions): TermParts {
  const { ports: given, term, preparePlan: prepare } = options;
  // Some parts call others that are made after them, and none before all stand.
  const records = openRecords(options, (mark) => intake.cancel(mark));
  const { recovery, recorder, book } = records;
  const advisor = new advice.AdviceBook({
    advisor: given.advisor,
    clock: given.clock,
    onAdvice: () => planning.wake(),
  });
  const hardLoad = new hardLoads.HardLoadWatch(given);
  const runEstimates = new estimates.RunEstimates({
    clock: given.clock,
    siteOf: (id) => directory.siteOf(id),
    onSingle: (occupant, tookMs) => directory.learnFrom(occupant, tookMs),
  });
  const ends = new runEnds.RunEnds({
    ports: given,
    recorder,
    book,
    control: () => control,
    onDone: (occupant) => runEstimates.noteDone(occupant),
    onLife: (id) => {
      directory.lifeBegan(id);
      advisor.forget(id);
    },
    onRoom: () => planning.wake(),
  });
  const directory = new directories.EndpointDirectory({
    ports: given,
    term,
    listener: ends,
    recovery,
    doEndpointsDiffer: () => hardLoad.load.endpointsDiffer,
  });
  const shared = { ports: given, directory, advice: advisor };
  const control = new controls.RunControl({ ...shared, recorder });
  const intake = new workflowIntakes.WorkflowIntake({
    recorder,
    book,
    control,
  });
  const shares = new shareBooks.ShareBook(given, term);
  const planning = new plannings.Planning({
    ...shared,
    hardLoad,
    estimates: runEstimates,
    shares,
    control,
    live: () => book.live,
    unrecorded: () => book.unrecorded,
    prepare,
  });
  return {
    ...records,
    directory,
    control,
    intake,
    ends,
    watch: new watches.RunWatch(given, directory, control),
    guarantees: new guarantees.GuaranteeWatch(given, directory),
    planning,
    hardLoad,
    estimates: runEstimates,
    shares,
    forecasts: new forecasts.ForecastMaker({
      ports: given,
      term,
      directory,
      hardLoad,
      live: () => book.live,
    }),
  };
}

function openRecords(
  { ports: given, term }: Pick<TermPartsOptions, "ports" | "term">,
  onCancelled: (mark: intakes.CancelMark) => void,
): Records {
  const held = new fences.PartitionFences(given, term);
  const recovery = new recoveries.Recovery(given, term, held);
  const recorder = new recorders.Recorder({
    ports: given,
    term,
    fences: held,
    onCancelled,
  });
  const book = new books.WorkflowBook({
    ports: given,
    fences: held,
    recorder,
    recovery,
  });
  return { recovery, recorder, book };
}
