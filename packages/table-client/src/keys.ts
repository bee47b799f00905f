/** Keys of the rows that cairngate keeps in the table service. */
import * as crypto from "node:crypto";

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

/**
 * What callers write lies in several partitions, so that an outage of some of
 * them leaves the others open for new work. A partition is named behind the
 * table, as in `intake:3/...`; a transaction stays within one.
 */
export const INTAKE_PARTITIONS: readonly string[] = [
  "0",
  "1",
  "2",
  "3",
  "4",
  "5",
  "6",
  "7",
];

/** Table of accepted workflows and cancels. */
export const INTAKE_TABLE = "intake";

/** Partition of what callers write about one workflow. */
export function partitionOf(id: string): string {
  const [first] = crypto.createHash("sha1").update(id).digest();
  return INTAKE_PARTITIONS[first % INTAKE_PARTITIONS.length];
}

/** Row of an accepted workflow; never changes. */
export function workflowKey(id: string): string {
  return `${INTAKE_TABLE}:${partitionOf(id)}/${id}/spec`;
}

/** Row that says: a caller has cancelled this workflow. */
export function cancelKey(id: string): string {
  return `${INTAKE_TABLE}:${partitionOf(id)}/${id}/cancel`;
}

/** Rows of the progress of workflows. */
export const PROGRESS_PREFIX = "progress/";

/** Progress of one workflow; written by the coordinator. */
export function progressKey(id: string): string {
  return `${PROGRESS_PREFIX}${id}`;
}

/** Starts of the keys of a queue's workflows that have not begun. */
export function waitingPrefixes(queue: string): readonly string[] {
  return INTAKE_PARTITIONS.map((part) => `waiting:${part}/${queue}/`);
}

/** Marks a workflow that has not begun. */
export function waitingKey(queue: string, id: string): string {
  return `waiting:${partitionOf(id)}/${queue}/${id}`;
}

/** Rows by which the nodes elect a coordinator. */
export const ELECTION_PREFIX = "election/";

/** Who coordinates, under which fencing token; changes on takeover only. */
export const COORDINATOR_KEY = `${ELECTION_PREFIX}coordinator`;

/** Renewed by the coordinator. */
export const COORDINATOR_LEASE_KEY = `${ELECTION_PREFIX}lease`;
