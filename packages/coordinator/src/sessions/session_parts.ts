/** Creates the parts of one session and connects them. */
import * as endpointEnds from "./endpoint_ends.ts";
import * as pollers from "./endpoint_poller.ts";
import * as endpointOrders from "./endpoint_orders.ts";
import * as endpointRuns from "./endpoint_runs.ts";
import * as unanswered from "./unanswered_polls.ts";
import * as endpointStarts from "./endpoint_starts.ts";
import * as endpointStates from "./endpoint_state.ts";
import * as endpointStops from "./endpoint_stops.ts";
import * as lateStartGuards from "./late_start_guard.ts";
import type * as sessionOptions from "./session_options.ts";
import * as preStartPolls from "./pre_start_polls.ts";
import * as startReports from "./start_report_handler.ts";
import * as views from "./view_reader.ts";

/** Parts that all other ones use. */
interface SharedParts {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
}

/** Parts that a session calls. */
export interface SessionParts extends SharedParts {
  readonly ends: endpointEnds.EndpointEnds;
  readonly stops: endpointStops.EndpointStops;
  readonly viewReader: views.ViewReader;
  readonly poller: pollers.EndpointPoller;
  readonly starts: endpointStarts.EndpointStarts;
  readonly lateStarts: lateStartGuards.LateStartGuard;
}

/** Creates the parts of one session. */
export function createParts(
  options: sessionOptions.SessionOptions,
): SessionParts {
  const state = new endpointStates.EndpointState(options);
  // Runs and stops depend on each other; no start is blocked before all parts exist.
  const runs = new endpointRuns.EndpointRuns({
    options,
    state,
    blockStart: (assignment) => stops.blockStart(assignment),
    blockRun: (run) => stops.blockRun(run),
  });
  const shared = { options, state, runs };
  const ends = new endpointEnds.EndpointEnds(shared);
  const orders = new endpointOrders.EndpointOrders({ ...shared, ends });
  const lateStarts = new lateStartGuards.LateStartGuard(shared);
  const unansweredPolls = new unanswered.UnansweredPolls({
    ...shared,
    ends,
    lateStarts,
  });
  const stops = new endpointStops.EndpointStops({
    ...shared,
    orders,
    pollNow: () => poller.pollNow(),
  });
  const viewReader = createReader(shared, stops);
  const poller = new pollers.EndpointPoller({
    ...shared,
    orders,
    unansweredPolls,
    viewReader,
  });
  const starts = new endpointStarts.EndpointStarts({
    ...shared,
    polls: new preStartPolls.PreStartPolls({
      state,
      poller,
      clock: options.ports.clock,
    }),
    reports: new startReports.StartReportHandler({
      ...shared,
      ends,
      stops,
      poller,
    }),
  });
  return {
    ...shared,
    ends,
    stops,
    viewReader,
    poller,
    starts,
    lateStarts,
  };
}

function createReader(
  { options, state, runs }: SharedParts,
  stops: endpointStops.EndpointStops,
): views.ViewReader {
  const { recovery, listener, ports: { clock, log } } = options;
  return new views.ViewReader({
    clock,
    log,
    tracked: runs.tracked,
    ends: () => state.incarnation.ends,
    bornMs: () => state.incarnation.bornMs,
    previous: runs.previous,
    unreported: runs.unreported,
    recovery,
    listener,
    endpoint: state,
    stopUnexpected: (run) => stops.stopUnexpected(run),
    onRecorded: () => state.wake(),
  });
}
