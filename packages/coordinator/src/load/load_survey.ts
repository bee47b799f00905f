/** Collects running and waiting work as input of a forecast. */
import * as Admission from "@cairngate/admission";
import * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";

/** Endpoints, workflows and guarantees that the survey covers. */
export interface SurveyInput {
  readonly endpoints: readonly Scheduler.EndpointSnapshot[];
  /** Workflows of which something may still start. */
  readonly workflows: readonly Workflow.Workflow[];
  /** Accelerators guaranteed to each team. */
  readonly guarantees: ReadonlyMap<string, number>;
  readonly nowMs: number;
  readonly wallMs: number;
}

/** The part of a forecast's load that does not come from settings or configuration. */
export type Survey = Pick<
  Admission.Load,
  "endpoints" | "runs" | "waits" | "urgentUse"
>;

/** Collects the running and waiting work of endpoints and workflows. */
export function surveyLoad(input: SurveyInput): Survey {
  const { endpoints, workflows, guarantees } = input;
  const ranks = new Scheduler.Ranks(workflows, guarantees);
  const fastest = Math.max(1, ...endpoints.map(({ speed }) => speed));
  const urgentUse = new Map<string, number>();
  const waits: Admission.WaitingTasks[] = [];
  for (const workflow of workflows) {
    waits.push(...waitsOf(workflow, { input, ranks, fastest }));
    const isStillInUse = isUrgent(workflow) &&
      staysInUse(workflow, input, fastest);
    if (!isStillInUse) continue;
    const { tenant } = workflow.spec;
    const used = urgentUse.get(tenant) ?? 0;
    urgentUse.set(tenant, used + Scheduler.acceleratorsOf(workflow));
  }
  const runs = endpoints.flatMap((endpoint) =>
    endpoint.tasks.map((task) => runOf(task, { endpoint, input, ranks }))
  );
  return { endpoints, runs, waits, urgentUse };
}

function isUrgent({ spec, isOver }: Workflow.Workflow): boolean {
  return spec.policy.priority === 0 && !isOver;
}

/** Whether some task of the workflow can't end before a forecast made now is stale. */
function staysInUse(
  workflow: Workflow.Workflow,
  { nowMs }: SurveyInput,
  fastest: number,
): boolean {
  const isRunningOn = workflow.placedTasks().some((task) =>
    task.state !== Workflow.TaskState.Done &&
    leftOf(task, nowMs) > Admission.STALE_MS
  );
  if (isRunningOn) return true;
  return workflow.stepsWithWaitingTasks().some(({ estimateMs }) =>
    estimateMs * Admission.MIN_ESTIMATE_FACTOR / fastest > Admission.STALE_MS
  );
}

function runOf(
  task: Workflow.Task,
  from: {
    readonly endpoint: Scheduler.EndpointSnapshot;
    readonly input: SurveyInput;
    readonly ranks: Scheduler.Ranks;
  },
): Admission.RunningTask {
  const { endpoint: { service }, input: { nowMs }, ranks } = from;
  const rank = ranks.of(task.workflow);
  const need = Admission.reservedResources(task.step);
  return { service, rank, need, leftMs: leftOf(task, nowMs) };
}

/**
 * Earliest time until a run may end, in ms, by its progress or else by its estimate.
 */
function leftOf(task: Workflow.Task, nowMs: number): number {
  if (task.state === Workflow.TaskState.Stopping) return 0;
  if (task.step.lasting) return Number.POSITIVE_INFINITY;
  const sureMs = task.step.estimateMs * Admission.MIN_ESTIMATE_FACTOR;
  const endMs = task.endsAtMs ?? task.startedAtMs + sureMs;
  return Math.max(0, endMs - nowMs);
}

function waitsOf(
  workflow: Workflow.Workflow,
  from: {
    readonly input: SurveyInput;
    readonly ranks: Scheduler.Ranks;
    readonly fastest: number;
  },
): Admission.WaitingTasks[] {
  const { input: { wallMs }, ranks, fastest } = from;
  const rank = ranks.of(workflow);
  const { spec } = workflow;
  const waits = new Map<string, Admission.WaitingTasks>();
  for (const unit of workflow.readyUnits(wallMs)) {
    if (Scheduler.outcomeOf(unit, wallMs) === Scheduler.Outcome.None) continue;
    const { step, tasks } = unit;
    const key = tasks[0].stepKey;
    const counted = waits.get(key)?.count ?? 0;
    waits.set(key, {
      service: spec.policy.service,
      rank,
      need: Admission.reservedResources(step),
      count: counted + tasks.length,
      gang: step.gang,
      runMs: step.estimateMs * Admission.MIN_ESTIMATE_FACTOR / fastest,
      dueInMs: Workflow.objectiveAtMs(spec, unit.round) - wallMs,
    });
  }
  return [...waits.values()];
}
