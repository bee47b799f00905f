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
 * All rows of a workflow lie in one of several partitions, so that an outage of
 * some of them leaves the workflows of the others untouched. A partition is
 * named behind the table, as in `intake:3/...`; a transaction stays within one.
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

/** Partition in which a workflow is looked for first. */
export function homePartition(id: string): string {
  const [first] = crypto.createHash("sha1").update(id).digest();
  return PARTITIONS[first % PARTITIONS.length];
}

/** Partition that a key or prefix names; empty where it names none. */
export function partitionIn(key: string): string {
  const [table] = key.split("/", 1);
  const colon = table.indexOf(":");
  return colon < 0 ? "" : table.slice(colon + 1);
}

/** Start of the keys of what callers wrote about one workflow. */
export function intakePrefix(partition: string, id: string): string {
  return `${INTAKE_TABLE}:${partition}/${id}/`;
}

/** Row of an accepted workflow; never changes. */
export function workflowKey(partition: string, id: string): string {
  return `${intakePrefix(partition, id)}spec`;
}

/** Row that says: a caller has cancelled this workflow. */
export function cancelKey(partition: string, id: string): string {
  return `${intakePrefix(partition, id)}cancel`;
}

/** Start of the keys of the progress of a partition's workflows. */
export function progressPrefix(partition: string): string {
  return `progress:${partition}/`;
}

/** Progress of one workflow; written by the coordinator. */
export function progressKey(partition: string, id: string): string {
  return `${progressPrefix(partition)}${id}`;
}

/** Token of the only coordinator that may write progress in a partition. */
export function fenceKey(partition: string): string {
  return `fence:${partition}/token`;
}

/** Start of the keys of a partition's workflows that have not begun. */
export function waitingPrefix(partition: string): string {
  return `waiting:${partition}/`;
}

/** Queue that the key of a waiting workflow names. */
export function queueOfWaitingKey(key: string): string {
  return key.slice(key.indexOf("/") + 1, key.lastIndexOf("/"));
}

/** Marks a workflow that has not begun. */
export function waitingKey(
  partition: string,
  queue: string,
  id: string,
): string {
  return `${waitingPrefix(partition)}${queue}/${id}`;
}

/** Rows by which the nodes find each other. */
export const MEMBER_PREFIX = "members/";

/** Row of one node. */
export function memberKey(box: string): string {
  return `${MEMBER_PREFIX}${box}`;
}

/** Rows by which the nodes elect a coordinator. */
export const ELECTION_PREFIX = "election/";

/** Who coordinates, under which fencing token; changes on takeover only. */
export const COORDINATOR_KEY = `${ELECTION_PREFIX}coordinator`;

/** Renewed by the coordinator. */
export const COORDINATOR_LEASE_KEY = `${ELECTION_PREFIX}lease`;

/**
 * What each team has lately had; written by the coordinator. It lies in the partition
 * of the election's rows, so that a write can name the term as its condition.
 */
export const TEAM_SHARES_KEY = "shares/teams";
