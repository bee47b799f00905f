/** Rows of the store that the operator writes. */
import type * as access from "./access_config.ts";

/** Kinds of rows that the operator writes. */
export enum OperatorEntryKind {
  Config = "config",
  Evacuation = "evacuation",
}

/** The newest configuration, complete. */
export interface ConfigEntry {
  readonly kind: OperatorEntryKind.Config;
  readonly config: access.AccessConfig;
}

/**
 * Evacuates a data centre: nothing may start there while this row exists. Runs that
 * have started may continue.
 */
export interface EvacuationEntry {
  readonly kind: OperatorEntryKind.Evacuation;
  readonly dataCentre: string;
}

/** A row that the operator writes. */
export type OperatorEntry = ConfigEntry | EvacuationEntry;
