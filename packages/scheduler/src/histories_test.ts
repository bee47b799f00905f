import * as Naive from "@cairngate/naive";
import * as Placement from "@cairngate/placement";
import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as fc from "fast-check";
import process from "node:process";
import * as vitest from "vitest";
import * as cores from "./scheduler_core.ts";
import * as layouts from "./layout.ts";
import * as policies from "./policies.ts";
import * as schedulers from "./scheduler.ts";

const { describe, expect, test } = vitest;
const { buildDeployment, buildJobShape, buildTeam } = TestUtils;

/** Number of generated histories per test; CI uses the default. */
const HISTORIES = Number(process.env["CAIRNGATE_HISTORIES"] ?? 150);
const SEED = 42;

const TEAMS = [
  buildTeam("a", { guarantee: [[16, 1], [4, 2]] }),
  buildTeam("b", { guarantee: [[8, 2]], quota: 48 }),
  buildTeam("c"),
];

enum OperationKind {
  Submit,
  Finish,
  Cancel,
  LoseWorker,
  ReturnWorker,
}

interface Operation {
  readonly kind: OperationKind;
  readonly pick: number;
  readonly shape: Types.JobShape;
}

const shapes = fc.record({
  team: fc.constantFrom("a", "b", "c"),
  tier: fc.constantFrom(
    Types.Tier.Urgent,
    Types.Tier.Standard,
    Types.Tier.Batch,
  ),
  accelerators: fc.constantFrom(1, 2, 3, 4, 8),
  gang: fc.constantFrom(1, 1, 1, 2, 4, 8),
  adjacency: fc.constantFrom(Types.Adjacency.Any, Types.Adjacency.Rack),
  repeatable: fc.boolean(),
  estimateMs: fc.option(fc.integer({ min: 1000, max: 500_000 })),
});

const operationLists: fc.Arbitrary<Operation[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(
      OperationKind.Submit,
      OperationKind.Submit,
      OperationKind.Submit,
      OperationKind.Finish,
      OperationKind.Finish,
      OperationKind.Cancel,
      OperationKind.LoseWorker,
      OperationKind.ReturnWorker,
    ),
    pick: fc.nat(),
    shape: shapes.map((changes) => buildJobShape("x", changes)),
  }),
  { minLength: 10, maxLength: 60 },
);

/** Carries out the decisions of a scheduler and tracks their result independently. */
class Simulation {
  readonly scheduler: cores.SchedulerCore;
  readonly layout: layouts.CellLayout;
  readonly running = new Map<string, readonly Types.Slot[]>();
  readonly yielding = new Set<string>();
  readonly waiting = new Map<string, Types.JobShape>();
  readonly lost = new Set<number>();
  nowMs = 0;

  constructor(scheduler: cores.SchedulerCore, layout: layouts.CellLayout) {
    this.scheduler = scheduler;
    this.layout = layout;
    for (const worker of layout.workers) {
      if (worker !== undefined) {
        scheduler.setWorkerAvailable(worker.index, true);
      }
    }
  }

  apply(operation: Operation, index: number): void {
    this.nowMs += 1000;
    switch (operation.kind) {
      case OperationKind.Submit: {
        const id = `j${index}`;
        const shape = { ...operation.shape, id, submittedAtMs: this.nowMs };
        this.waiting.set(id, shape);
        return this.scheduler.submit(shape, { nowMs: this.nowMs });
      }
      case OperationKind.Finish:
        return this.#finish(pickOf([...this.running.keys()], operation.pick));
      case OperationKind.Cancel:
        return this.#finish(pickOf([...this.waiting.keys()], operation.pick));
      case OperationKind.LoseWorker:
        return this.#loseWorker(operation.pick);
      case OperationKind.ReturnWorker: {
        const worker = pickOf([...this.lost], operation.pick);
        if (worker === undefined) return;
        this.lost.delete(worker);
        return this.scheduler.setWorkerAvailable(worker, true);
      }
    }
  }

  /** Plans until there are no more decisions; preempted jobs stop at once. */
  planUntilStable(): void {
    for (let round = 0; round < 200; round++) {
      const decisions = this.scheduler.plan(this.nowMs);
      if (decisions.length === 0) return;
      for (const decision of decisions) this.#carryOut(decision);
      for (const id of [...this.yielding]) this.#requeue(id);
    }
    throw new Error("200 rounds of planning did not reach a stable state");
  }

  /** Checks that no accelerator is shared and that no job is on a lost worker. */
  check(): void {
    const used = new Map<string, string>();
    for (const [id, slots] of this.running) {
      for (const { worker, mask } of slots) {
        expect(this.lost.has(worker)).toBe(false);
        for (let bit = 0; bit < 8; bit++) {
          if ((mask & (1 << bit)) === 0) continue;
          const at = `${worker}.${bit}`;
          expect(used.get(at)).toBeUndefined();
          used.set(at, id);
        }
      }
    }
  }

  #carryOut(decision: Types.Decision): void {
    if (decision.kind === Types.DecisionKind.Preempt) {
      this.yielding.add(decision.jobId);
      return;
    }
    if (decision.kind !== Types.DecisionKind.Start) return;
    const shape = this.waiting.get(decision.jobId)!;
    expect(decision.slots).toHaveLength(shape.gang);
    if (shape.adjacency === Types.Adjacency.Rack) {
      const racks = new Set(
        decision.slots.map((s) => Math.floor(s.worker / 8)),
      );
      expect(racks.size).toBe(1);
    }
    this.waiting.delete(decision.jobId);
    this.running.set(decision.jobId, decision.slots);
    this.shapes.set(decision.jobId, shape);
  }

  readonly shapes = new Map<string, Types.JobShape>();

  #requeue(id: string): void {
    this.yielding.delete(id);
    const shape = this.shapes.get(id)!;
    // Jobs that cannot be repeated must never be preempted.
    expect(shape.repeatable).toBe(true);
    this.running.delete(id);
    this.waiting.set(id, shape);
    const options = { nowMs: this.nowMs, progress: 0, detail: "yielded" };
    this.scheduler.requeue(id, options);
  }

  #finish(id: string | undefined): void {
    if (id === undefined) return;
    this.running.delete(id);
    this.waiting.delete(id);
    this.scheduler.finish(id);
  }

  #loseWorker(pick: number): void {
    const workers = this.layout.workers.flatMap((w) => w?.index ?? []);
    const worker = pickOf(workers.filter((w) => !this.lost.has(w)), pick)!;
    if (this.lost.size > 3) return;
    this.lost.add(worker);
    this.scheduler.setWorkerAvailable(worker, false);
    for (const [id, slots] of [...this.running]) {
      if (!slots.some((slot) => slot.worker === worker)) continue;
      if (this.shapes.get(id)!.repeatable) this.#requeue(id);
      else this.#finish(id);
    }
  }
}

function pickOf<T>(from: readonly T[], pick: number): T | undefined {
  return from.length === 0 ? undefined : from[pick % from.length];
}

function makeLayout(): layouts.CellLayout {
  const cfg = buildDeployment({ racks: 2, workersPerRack: 5, teams: TEAMS });
  return layouts.createCellLayout(cfg, "cell");
}

/**
 * Whether all guarantees fit, recomputed by brute force from the running jobs
 * and the bound blocks.
 */
function guaranteesFit(
  scheduler: schedulers.Scheduler,
  simulation: Simulation,
): boolean {
  const { tracker } = scheduler.occupancy;
  const space = new Placement.BuddySpace(simulation.layout.racks.length);
  simulation.layout.workers.forEach((worker, index) => {
    const own = worker === undefined ? 0 : 0xff;
    const usable = simulation.lost.has(index) ? 0 : own;
    space.setUsedMask(index, 0xff & ~usable);
  });
  const take = (worker: number, mask: number) =>
    space.setUsedMask(worker, space.usedMask(worker) | mask);
  for (const [id, slots] of simulation.running) {
    const entry = scheduler.get(id)!;
    const isFixed = !entry.shape.repeatable &&
      entry.entitlement === Types.Entitlement.Opportunistic;
    if (isFixed) { for (const { worker, mask } of slots) take(worker, mask); }
  }
  for (const bound of tracker.allBound()) {
    for (let at = bound.offset; at < bound.offset + (1 << bound.order); at++) {
      take(bound.rack * 8 + (at >> 3), 1 << (at & 7));
    }
  }
  return placeAll(space, unboundOrders(scheduler));
}

function unboundOrders(scheduler: schedulers.Scheduler): number[] {
  const orders: number[] = [];
  for (const { name } of TEAMS) {
    scheduler.occupancy.tracker.unboundOf(name).forEach((count, order) => {
      for (let i = 0; i < count; i++) orders.push(order);
    });
  }
  return orders.sort((a, b) => b - a);
}

/** Places blocks largest first, each at the first free position. */
function placeAll(
  space: Placement.BuddySpace,
  orders: readonly number[],
): boolean {
  return orders.every((order) => {
    for (let rack = 0; rack < space.rackCount; rack++) {
      for (let offset = 0; offset < 64; offset += 1 << order) {
        if (!space.isFree({ rack, offset, order })) continue;
        for (let at = offset; at < offset + (1 << order); at++) {
          const worker = rack * 8 + (at >> 3);
          const mask = space.usedMask(worker) | (1 << (at & 7));
          space.setUsedMask(worker, mask);
        }
        return true;
      }
    }
    return false;
  });
}

describe("generated histories", () => {
  test("keep every guarantee that fits on the available workers", () => {
    fc.assert(
      fc.property(operationLists, (history) => {
        const layout = makeLayout();
        const chosen = policies.createPolicies(layout.weighting);
        const scheduler = new schedulers.Scheduler(layout, chosen);
        const simulation = new Simulation(scheduler, layout);
        history.forEach((operation, i) => {
          simulation.apply(operation, i);
          simulation.planUntilStable();
          simulation.check();
          const holds = scheduler.occupancy.tracker.holds();
          expect(holds).toBe(guaranteesFit(scheduler, simulation));
          if (simulation.lost.size === 0 && hasNoLoss(history, i)) {
            expect(holds).toBe(true);
          }
        });
      }),
      { numRuns: HISTORIES, seed: SEED },
    );
  });

  test("leave no job waiting that the naive scheduler completes", () => {
    fc.assert(
      fc.property(operationLists, (history) => {
        const layout = makeLayout();
        const chosen = policies.createPolicies(layout.weighting);
        const own = new Simulation(
          new schedulers.Scheduler(layout, chosen),
          layout,
        );
        const naive = new Simulation(new Naive.NaiveScheduler(layout), layout);
        const submits = history.filter((m) => m.kind === OperationKind.Submit);
        for (const simulation of [own, naive]) {
          submits.forEach((operation, i) => simulation.apply(operation, i));
          drain(simulation);
        }
        // Every repeatable job within its quota that waits here waits there too.
        expect([...own.waiting.keys()].filter(fitsQuota(own))).toEqual(
          [...naive.waiting.keys()].filter(fitsQuota(naive)).filter(
            (id) => own.waiting.has(id),
          ),
        );
      }),
      { numRuns: HISTORIES, seed: SEED },
    );
  });
});

/** Whether no worker was lost up to an operation. */
function hasNoLoss(history: readonly Operation[], until: number): boolean {
  return history.slice(0, until + 1).every((m) =>
    m.kind !== OperationKind.LoseWorker
  );
}

function fitsQuota(simulation: Simulation): (id: string) => boolean {
  return (id) => {
    const shape = simulation.waiting.get(id)!;
    const team = TEAMS.find((t) => t.name === shape.team)!;
    // Jobs that cannot yield may wait for ever, to keep guarantees feasible.
    if (!shape.repeatable) return false;
    const order = Placement.orderOf(shape.accelerators);
    return shape.gang << order <= Math.min(team.quota, 64);
  };
}

/** Finishes running jobs one after another until no job runs. */
function drain(simulation: Simulation): void {
  simulation.planUntilStable();
  while (simulation.running.size > 0) {
    const [id] = simulation.running.keys();
    simulation.nowMs += 60_000;
    simulation.running.delete(id);
    simulation.scheduler.finish(id);
    simulation.planUntilStable();
    simulation.check();
  }
}
