/**
 * Applies the routing of queues by the configuration in force to accepted workflows, so
 * that their next starts go where the queue is served now. The other settings of a
 * queue stay as they were on acceptance: callers have been promised these.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import type * as ports from "../ports.ts";

/** The queues of the newest configuration that this term has applied. */
export class QueueRoutings {
  readonly #ports: Pick<ports.CoordinatorPorts, "config" | "log">;
  #config: Ports.AccessConfig | null = null;
  #queues: ReadonlyMap<string, Workflow.QueueRouting> = new Map();

  constructor(
    coordinatorPorts: Pick<ports.CoordinatorPorts, "config" | "log">,
  ) {
    this.#ports = coordinatorPorts;
  }

  /**
   * Reads the configuration in force and, where it has changed, reroutes the workflows
   * that were accepted under an earlier one.
   */
  update(workflows: () => readonly Workflow.Workflow[]): void {
    const config = this.#ports.config();
    if (config === null || config === this.#config) return;
    this.#config = config;
    this.#queues = new Map(config.queues.map((route) => [route.queue, route]));
    const counts = new Map<string, number>();
    for (const workflow of workflows()) {
      const change = this.apply(workflow);
      if (change === null) continue;
      counts.set(change, (counts.get(change) ?? 0) + 1);
    }
    for (const [change, count] of counts) {
      this.#ports.log.info(
        `Configuration ${config.version} ${change}; ${count} accepted workflows ` +
          `follow.`,
      );
    }
  }

  /**
   * Reroutes a workflow that was accepted under an earlier configuration than the one
   * read last; returns a description of the change, or null where nothing changes. A
   * workflow whose queue was removed stays as it is: it was accepted and has to end.
   */
  apply(workflow: Workflow.Workflow): string | null {
    const { policy, configVersion = 0 } = workflow.spec;
    // The box that accepted it may have had a newer configuration than this one.
    if ((this.#config?.version ?? 0) <= configVersion) return null;
    const routing = this.#queues.get(policy.queue);
    if (routing === undefined || isSameRouting(policy, routing)) return null;
    workflow.reroute(routing);
    return describeChange(policy, routing);
  }
}

function isSameRouting(
  a: Workflow.QueueRouting,
  b: Workflow.QueueRouting,
): boolean {
  return a.service === b.service && isSameAdvice(a.advice, b.advice);
}

function isSameAdvice(
  a: Workflow.AdvicePolicy | null | undefined,
  b: Workflow.AdvicePolicy | null | undefined,
): boolean {
  return a?.decisionMs === b?.decisionMs && a?.perWorkerMs === b?.perWorkerMs &&
    a?.validityMs === b?.validityMs;
}

function describeChange(
  { queue, service }: Workflow.QueuePolicy,
  routing: Workflow.QueueRouting,
): string {
  return service === routing.service
    ? `changes the advice of queue ${queue}`
    : `sends queue ${queue} from service ${service} to ${routing.service}`;
}
