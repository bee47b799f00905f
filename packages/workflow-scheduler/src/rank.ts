/** Who comes first, and who may make whom yield. */
import * as Workflow from "@cairngate/workflow";

/** Rank of work; a lower rank may make a higher one yield. */
export enum Rank {
  /** Urgent work inside its tenant's guarantee. */
  Guaranteed = 0,
  /** Urgent work beyond the guarantee. */
  Urgent = 1,
  /** All other work; its priority follows. */
  Ordinary = 2,
}

/** Knows the ranks of all workflows during one plan. */
export class Ranks {
  readonly #guaranteed = new Set<Workflow.Workflow>();

  /** @param guarantees accelerators that each tenant has paid for */
  constructor(
    workflows: Iterable<Workflow.Workflow>,
    guarantees: ReadonlyMap<string, number>,
  ) {
    const urgent = [...workflows]
      .filter((w) => w.spec.policy.priority === 0 && !w.isOver)
      .sort((a, b) => a.spec.acceptedAtMs - b.spec.acceptedAtMs);
    const used = new Map<string, number>();
    for (const workflow of urgent) {
      const { tenant } = workflow.spec;
      const sum = (used.get(tenant) ?? 0) + acceleratorsOf(workflow);
      used.set(tenant, sum);
      if (sum <= (guarantees.get(tenant) ?? 0)) this.#guaranteed.add(workflow);
    }
  }

  /** Rank of a workflow; ordinary work is ordered by its priority. */
  of(workflow: Workflow.Workflow): number {
    const { priority } = workflow.spec.policy;
    if (priority > 0) return Rank.Ordinary + priority - 1;
    return this.#guaranteed.has(workflow) ? Rank.Guaranteed : Rank.Urgent;
  }

  /** Whether work of one rank may make another yield. */
  mayEvict(claimant: Workflow.Workflow, victim: Workflow.Workflow): boolean {
    if (claimant.spec.policy.priority > 0) return false;
    return this.of(victim) > this.of(claimant);
  }
}

/** Most accelerators that one step of a workflow uses at once. */
export function acceleratorsOf(workflow: Workflow.Workflow): number {
  const needs = workflow.spec.steps.map((s) => s.count * s.accelerators);
  return Math.max(0, ...needs);
}

/** Orders units: rank first, then the time by which they should end. */
export function compareUnits(
  ranks: Ranks,
): (a: Workflow.Unit, b: Workflow.Unit) => number {
  const key = (unit: Workflow.Unit) =>
    Workflow.objectiveAtMs(unit.workflow.spec, unit.round);
  return (a, b) =>
    ranks.of(a.workflow) - ranks.of(b.workflow) || key(a) - key(b) ||
    a.stepIndex - b.stepIndex;
}
