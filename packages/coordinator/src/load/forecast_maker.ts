/** Makes the forecast by which boxes admit work while there is hard load. */
import * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import type * as terms from "../election/term.ts";
import type * as directories from "../endpoints/endpoint_directory.ts";
import type * as ports from "../ports.ts";
import * as guarantees from "../work/guarantee_watch.ts";
import type * as hardLoads from "./hard_load_detector.ts";
import * as settledServices from "./settled_services.ts";
import * as surveys from "./load_survey.ts";

/** Sources of the forecasts. */
export interface ForecastParts {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  readonly directory: directories.EndpointDirectory;
  readonly hardLoad: hardLoads.HardLoadDetector;
  readonly live: () => readonly Workflow.Workflow[];
}

/** Maximum number of priorities per service in a forecast, the most urgent ones. */
const MAX_PRIORITIES = 4;

/** Makes forecasts for one term. */
export class ForecastMaker {
  readonly #parts: ForecastParts;
  readonly #settledServices: settledServices.SettledServices;
  #previous: Admission.Forecast | null;

  constructor(parts: ForecastParts) {
    this.#parts = parts;
    this.#previous = parts.term.inherited;
    const inherited = this.#previous?.services ?? [];
    this.#settledServices = new settledServices.SettledServices(
      inherited.map(({ service }) => service),
    );
  }

  /**
   * Makes a forecast if teams compete or endpoints differ; otherwise clears the
   * published one.
   */
  make(): void {
    const { ports: { config, clock, metrics }, term, hardLoad } = this.#parts;
    const { teamsCompete, endpointsDiffer } = hardLoad.load;
    const access = config();
    if (!(teamsCompete || endpointsDiffer) || access === null) {
      term.forecast = null;
      return;
    }
    const madeAtMs = clock.monotonicMs();
    const forecast = this.#forecast(access);
    this.#previous = forecast;
    term.forecast = { forecast, madeAtMs };
    metrics.count("cairngate_forecasts_total");
    const tookMs = clock.monotonicMs() - madeAtMs;
    metrics.observeMs("cairngate_forecast_seconds", tookMs);
  }

  #forecast(access: Ports.AccessConfig): Admission.Forecast {
    const { ports: coordinatorPorts, directory, hardLoad, live } = this.#parts;
    const nowMs = coordinatorPorts.clock.monotonicMs();
    const endpoints = directory.states();
    this.#settledServices.note(endpoints.map(({ service }) => service), nowMs);
    const isSettled = (service: string) =>
      this.#settledServices.has(service, nowMs);
    const survey = surveys.surveyLoad({
      endpoints,
      workflows: live(),
      guarantees: guarantees.guaranteesOf(access),
      nowMs,
      wallMs: coordinatorPorts.clock.wallMs(),
    });
    return Admission.makeForecast({
      ...survey,
      number: Math.round(nowMs),
      boxes: coordinatorPorts.countBoxes(),
      remotePenalty: coordinatorPorts.bounds.remotePenalty,
      isInOrder: !hardLoad.load.teamsCompete,
      priorities: prioritiesOf(access, isSettled),
      before: this.#previous,
    });
  }
}

/** Queue priorities of each settled service, most urgent first. */
function prioritiesOf(
  { queues }: Ports.AccessConfig,
  isSettled: (service: string) => boolean,
): ReadonlyMap<string, readonly number[]> {
  const found = new Map<string, Set<number>>();
  for (const { service, priority } of queues) {
    if (!isSettled(service)) continue;
    const priorities = found.get(service) ?? new Set();
    found.set(service, priorities.add(priority));
  }
  return new Map([...found].map(([service, priorities]) => {
    const sorted = [...priorities].sort((a, b) => a - b);
    return [service, sorted.slice(0, MAX_PRIORITIES)];
  }));
}
