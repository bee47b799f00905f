/** Keys of the rows that cairngate keeps in the table service. */

/** Owner row of a cell: epoch and holder; changes on takeover only. */
export function ownerKey(cell: string): string {
  return `owners/${cell}`;
}

/** Lease row of a cell; renewed by its owner. */
export function leaseKey(cell: string): string {
  return `leases/${cell}`;
}

/** Version of a deployment's configuration in force. */
export function configKey(deployment: string): string {
  return `config/${deployment}/current`;
}

/** One version of a deployment's configuration. */
export function configVersionKey(
  deployment: string,
  version: number,
): string {
  return `${configHistoryPrefix(deployment)}${
    String(version).padStart(8, "0")
  }`;
}

/** Start of the keys of all versions of a deployment's configuration. */
export function configHistoryPrefix(deployment: string): string {
  return `config/${deployment}/versions/`;
}

/** Start of the keys of a cell's stored jobs that have not ended. */
export function jobPrefix(cell: string): string {
  return `jobs/${cell}/`;
}

/** Start of the keys of a cell's ended jobs. */
export function endedPrefix(cell: string): string {
  return `ended/${cell}/`;
}

/** Record of a stored job that has ended. */
export function endedKey(cell: string, jobId: string): string {
  return `${endedPrefix(cell)}${jobId}`;
}

/** Record of a stored job that has not ended. */
export function jobKey(cell: string, jobId: string): string {
  return `${jobPrefix(cell)}${jobId}`;
}

/** Start of the keys of a cell's intents. */
export function intentPrefix(cell: string): string {
  return `intents/${cell}/`;
}

/** Intent and outcome of an unrepeatable short job. */
export function intentKey(cell: string, jobId: string): string {
  return `${intentPrefix(cell)}${jobId}`;
}

/** Object-store key of a job's result. */
export function resultObjectKey(cell: string, jobId: string): string {
  return `results/${cell}/${jobId}`;
}

/** Rows that callers' requests write: accepted workflows and cancels. */
export const INTAKE_PREFIX = "intake/";

/** Row of an accepted workflow; never changes. */
export function workflowKey(id: string): string {
  return `${INTAKE_PREFIX}${id}/spec`;
}

/** Row that says: a caller has cancelled this workflow. */
export function cancelKey(id: string): string {
  return `${INTAKE_PREFIX}${id}/cancel`;
}

/** Rows of the progress of workflows. */
export const PROGRESS_PREFIX = "progress/";

/** Progress of one workflow; written by the coordinator. */
export function progressKey(id: string): string {
  return `${PROGRESS_PREFIX}${id}`;
}

/** Start of the keys of a queue's workflows that have not begun. */
export function waitingPrefix(queue: string): string {
  return `waiting/${queue}/`;
}

/** Marks a workflow that has not begun. */
export function waitingKey(queue: string, id: string): string {
  return `${waitingPrefix(queue)}${id}`;
}

/** Rows by which the nodes elect a coordinator. */
export const ELECTION_PREFIX = "election/";

/** Who coordinates, under which fencing token; changes on takeover only. */
export const COORDINATOR_KEY = `${ELECTION_PREFIX}coordinator`;

/** Renewed by the coordinator. */
export const COORDINATOR_LEASE_KEY = `${ELECTION_PREFIX}lease`;
