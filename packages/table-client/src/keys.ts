/** Keys of the rows in the table service. */
import * as crypto from "node:crypto";

/** Key of a cell's owner row (epoch and holder), which changes on takeover only. */
export function ownerKey(cell: string): string {
  return `owners/${cell}`;
}

/** Key of a cell's lease row, which its owner renews. */
export function leaseKey(cell: string): string {
  return `leases/${cell}`;
}

/** Key of the row with the configuration version in force. */
export function configKey(deployment: string): string {
  return `config/${deployment}/current`;
}

/** Key of one version of a deployment's configuration. */
export function configVersionKey(
  deployment: string,
  version: number,
): string {
  return `${configHistoryPrefix(deployment)}${
    String(version).padStart(8, "0")
  }`;
}

/** Key prefix of all versions of a deployment's configuration. */
export function configHistoryPrefix(deployment: string): string {
  return `config/${deployment}/versions/`;
}

/** Key prefix of a cell's stored jobs that have not ended. */
export function jobPrefix(cell: string): string {
  return `jobs/${cell}/`;
}

/** Key prefix of a cell's ended jobs. */
export function endedPrefix(cell: string): string {
  return `ended/${cell}/`;
}

/** Key of a stored job that has ended. */
export function endedKey(cell: string, jobId: string): string {
  return `${endedPrefix(cell)}${jobId}`;
}

/** Key of a stored job that has not ended. */
export function jobKey(cell: string, jobId: string): string {
  return `${jobPrefix(cell)}${jobId}`;
}

/** Key prefix of a cell's intents. */
export function intentPrefix(cell: string): string {
  return `intents/${cell}/`;
}

/** Key of the intent and the outcome of an unrepeatable short job. */
export function intentKey(cell: string, jobId: string): string {
  return `${intentPrefix(cell)}${jobId}`;
}

/** Object-store key of a job's result. */
export function resultObjectKey(cell: string, jobId: string): string {
  return `results/${cell}/${jobId}`;
}

/**
 * Partitions of the store. All rows of a workflow lie in one, so that an outage of
 * some partitions does not affect the workflows of the others. The partition follows
 * the name of the table, as in `intake:3/...`; a transaction never spans several.
 */
export const PARTITIONS: readonly string[] = [
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

/** Partition in which a workflow is searched for first. */
export function homePartition(id: string): string {
  const [first] = crypto.createHash("sha1").update(id).digest();
  return PARTITIONS[first % PARTITIONS.length];
}

/** Partition of a key or prefix; empty where it has none. */
export function partitionOfKey(key: string): string {
  const [table] = key.split("/", 1);
  const colon = table.indexOf(":");
  return colon < 0 ? "" : table.slice(colon + 1);
}

/** Key prefix of the rows that callers write about one workflow. */
export function intakePrefix(partition: string, id: string): string {
  return `${INTAKE_TABLE}:${partition}/${id}/`;
}

/** Key of an accepted workflow, whose row never changes. */
export function workflowKey(partition: string, id: string): string {
  return `${intakePrefix(partition, id)}spec`;
}

/** Key of the row by which a caller cancels a workflow. */
export function cancelKey(partition: string, id: string): string {
  return `${intakePrefix(partition, id)}cancel`;
}

/**
 * Key of the row by which a caller cancels a workflow that no partition holds. Callers
 * with another scope have another row.
 */
export function earlyCancelKey(
  partition: string,
  id: string,
  scope: string,
): string {
  const digest = crypto.createHash("sha1").update(scope).digest("hex");
  return `${intakePrefix(partition, id)}early-cancel/${digest}`;
}

/** Key prefix of the progress of a partition's workflows. */
export function progressPrefix(partition: string): string {
  return `progress:${partition}/`;
}

/** Key of the progress of one workflow, written by the coordinator. */
export function progressKey(partition: string, id: string): string {
  return `${progressPrefix(partition)}${id}`;
}

/** Key of the fencing token required to write progress in a partition. */
export function fenceKey(partition: string): string {
  return `fence:${partition}/token`;
}

/** Key prefix of a partition's workflows that have not started. */
export function waitingPrefix(partition: string): string {
  return `waiting:${partition}/`;
}

/** Queue in the key of a waiting workflow. */
export function queueOfWaitingKey(key: string): string {
  return key.slice(key.indexOf("/") + 1, key.lastIndexOf("/"));
}

/** Key of the row that marks a workflow as not started. */
export function waitingKey(
  partition: string,
  queue: string,
  id: string,
): string {
  return `${waitingPrefix(partition)}${queue}/${id}`;
}

/** Key prefix of the rows by which boxes discover each other. */
export const MEMBER_PREFIX = "members/";

/** Key of the member row of one box. */
export function memberKey(box: string): string {
  return `${MEMBER_PREFIX}${box}`;
}

/** Key prefix of the rows by which boxes elect a coordinator. */
export const ELECTION_PREFIX = "election/";

/** Key of the current coordinator and its fencing token; changes on takeover only. */
export const COORDINATOR_KEY = `${ELECTION_PREFIX}coordinator`;

/** Key of the lease that the coordinator renews. */
export const COORDINATOR_LEASE_KEY = `${ELECTION_PREFIX}lease`;

/**
 * Key of the recent use of each team, written by the coordinator. It lies in the
 * partition of the election rows, so that a write can be conditional on the term.
 */
export const TEAM_SHARES_KEY = "shares/teams";
