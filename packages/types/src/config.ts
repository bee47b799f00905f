/** Operators' files: racks, cells, teams, services. */
import type * as job from "./job.ts";

/** One worker of a rack. */
export interface WorkerSpec {
  readonly name: string;
  /** Address as host:port. */
  readonly endpoint: string;
  readonly accelerators: number;
}

/** A rack: up to 8 workers that are adjacent. */
export interface RackSpec {
  readonly name: string;
  readonly dataCentre: string;
  readonly workers: readonly WorkerSpec[];
}

/** A set of racks that one box decides for. */
export interface CellSpec {
  readonly name: string;
  readonly racks: readonly string[];
}

/** Blocks of one size within a team's guaranteed shape. */
export interface BlockSpec {
  /** 1, 2, 4 or 8 lie in one worker; 16, 32 or 64 in one rack. */
  readonly accelerators: number;
  readonly count: number;
}

/** A paying team. */
export interface TeamSpec {
  readonly name: string;
  readonly tier: job.Tier;
  readonly guarantee: readonly BlockSpec[];
  /** The cell that keeps the guarantee and runs the team's jobs. */
  readonly cell: string;
  /** Most accelerators the team may use at once. */
  readonly quota: number;
  /** Most short jobs the team may have waiting. */
  readonly waitingLimit: number;
}

/** Defaults for the jobs of a service. */
export interface ServiceSpec {
  readonly name: string;
  readonly kind: job.ServiceKind;
  readonly tier: job.Tier;
  readonly work: string;
  readonly repeatable: boolean;
  readonly accelerators: number;
  readonly gang: number;
  readonly adjacency: job.Adjacency;
  readonly estimateSeconds: number | null;
  readonly checkpointSeconds: number | null;
  readonly deadlineSeconds: number | null;
}

/** What the operator cares for most; both weights are 0 to 1. */
export interface Weighting {
  readonly completionTime: number;
  readonly fragmentation: number;
}

/** A whole operators' file. */
export interface DeploymentConfig {
  readonly name: string;
  readonly weighting: Weighting;
  readonly racks: readonly RackSpec[];
  readonly cells: readonly CellSpec[];
  readonly teams: readonly TeamSpec[];
  readonly services: readonly ServiceSpec[];
}

/** A configuration in force, with its place in the history. */
export interface ConfigVersion {
  readonly version: number;
  readonly hash: string;
  readonly applyId: string;
  readonly appliedAtMs: number;
  readonly text: string;
}
