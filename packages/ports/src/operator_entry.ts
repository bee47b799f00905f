/** What the operator asks for, row by row. */
import type * as access from "./access_config.ts";

/** Kinds of rows that the operator writes. */
export enum OperatorEntryKind {
  Config = "config",
  Evacuation = "evacuation",
}

/** The newest configuration, whole. */
export interface ConfigEntry {
  readonly kind: OperatorEntryKind.Config;
  readonly config: access.AccessConfig;
}

/**
 * Nothing may start in a data centre while this row is there; what runs there may
 * go on.
 */
export interface EvacuationEntry {
  readonly kind: OperatorEntryKind.Evacuation;
  readonly dataCentre: string;
}

/** One row of the operator. */
export type OperatorEntry = ConfigEntry | EvacuationEntry;
