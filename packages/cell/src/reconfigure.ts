/**
 * Applies a newer configuration to a cell. Jobs on workers that remain
 * configured keep running.
 */
import type * as Scheduler from "@cairngate/scheduler";
import * as Types from "@cairngate/types";
import * as states from "./cell_state.ts";
import type * as runners from "./job_runner.ts";
import type * as ports from "./ports.ts";

/**
 * Creates a scheduler for the new configuration and moves all jobs to it.
 * Returns the new workers, which need a link each.
 */
export function applyConfig(
  state: states.CellState,
  config: ports.ConfigInForce,
  runner: runners.JobRunner,
): Types.WorkerSpec[] {
  const previous = state.scheduler;
  const next = states.createScheduler(config, state.lease.cell);
  state.scheduler = next;
  state.configVersion = config.version;
  copyAvailability(state, previous);
  const nowMs = state.ports.clock.wallMs();
  for (const entry of previous.jobs()) {
    const slots = translateSlots(state, previous, entry.slots);
    if (isOnWorkers(entry.state) && slots !== null) {
      const { progress } = entry;
      next.restore(entry.shape, { nowMs, slots, progress });
    } else {
      next.submit(entry.shape, { nowMs, progress: entry.progress });
    }
  }
  stopOnRemovedWorkers(state, runner);
  state.ports.log.info(
    `Cell ${state.lease.cell} uses configuration version ${config.version}.`,
  );
  return listAdded(state);
}

function isOnWorkers(jobState: Types.JobState): boolean {
  return jobState === Types.JobState.Running ||
    jobState === Types.JobState.Yielding;
}

function copyAvailability(
  state: states.CellState,
  before: Scheduler.Scheduler,
): void {
  for (const worker of before.layout.workers) {
    if (worker === undefined) continue;
    const index = state.indexOf(worker.name);
    const available = before.occupancy.isAvailable(worker.index);
    if (index >= 0) state.scheduler.setWorkerAvailable(index, available);
  }
}

/** The same slots with the new worker indexes; null if a worker was removed. */
function translateSlots(
  state: states.CellState,
  before: Scheduler.Scheduler,
  slots: readonly Types.Slot[],
): Types.Slot[] | null {
  const moved: Types.Slot[] = [];
  for (const slot of slots) {
    const name = before.layout.workers[slot.worker]?.name ?? "";
    const worker = state.indexOf(name);
    if (worker < 0) return null;
    moved.push({ worker, mask: slot.mask });
  }
  return moved;
}

/** Stops the jobs on workers that the new file does not list, to be placed again. */
function stopOnRemovedWorkers(
  state: states.CellState,
  runner: runners.JobRunner,
): void {
  for (const [name] of state.links) {
    if (state.indexOf(name) >= 0) continue;
    for (const job of [...state.jobs.values()]) {
      if (!job.attempt?.workers.includes(name)) continue;
      runner.handleMemberLoss(job, `worker ${name} is no longer configured`);
    }
  }
}

function listAdded(state: states.CellState): Types.WorkerSpec[] {
  const added: Types.WorkerSpec[] = [];
  for (const worker of state.scheduler.layout.workers) {
    if (worker !== undefined && !state.links.has(worker.name)) {
      added.push(worker);
    }
  }
  return added;
}
