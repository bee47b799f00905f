/** Contents of operators' files: racks, cells, teams and services. */
import type * as job from "./job.ts";

/** One worker of a rack. */
export interface WorkerSpec {
  readonly name: string;
  /** Address as host:port. */
  readonly endpoint: string;
  readonly accelerators: number;
}

/** A rack of up to 8 adjacent workers. */
export interface RackSpec {
  readonly name: string;
  readonly dataCentre: string;
  readonly workers: readonly WorkerSpec[];
}

/** A set of racks scheduled by one box. */
export interface CellSpec {
  readonly name: string;
  readonly racks: readonly string[];
}

/** Blocks of one size within a team's guaranteed shape. */
export interface BlockSpec {
  /** Blocks of 1, 2, 4 or 8 fit in one worker; 16, 32 or 64 need one rack. */
  readonly accelerators: number;
  readonly count: number;
}

/** A team with its guarantee and its limits. */
export interface TeamSpec {
  readonly name: string;
  readonly tier: job.Tier;
  readonly guarantee: readonly BlockSpec[];
  /** The cell that provides the guarantee and runs the team's jobs. */
  readonly cell: string;
  /** Maximum number of accelerators that the team may use at once. */
  readonly quota: number;
  /** Maximum number of the team's waiting short jobs. */
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

/** Weights of the scheduling objectives, each 0 to 1. */
export interface Weighting {
  readonly completionTime: number;
  readonly fragmentation: number;
}

/** A complete operators' file. */
export interface DeploymentConfig {
  readonly name: string;
  readonly weighting: Weighting;
  readonly racks: readonly RackSpec[];
  readonly cells: readonly CellSpec[];
  readonly teams: readonly TeamSpec[];
  readonly services: readonly ServiceSpec[];
}

/** A version of the configuration in its history. */
export interface ConfigVersion {
  readonly version: number;
  readonly hash: string;
  readonly applyId: string;
  readonly appliedAtMs: number;
  readonly text: string;
}
