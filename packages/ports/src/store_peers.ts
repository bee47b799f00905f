/** Calls between boxes: calls to the store to relay, and starts to guard against. */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";
import type * as pages from "./page_request.ts";
import type * as tables from "./table_service.ts";
import type * as endpoints from "./task_endpoints.ts";

/** Kinds of calls. */
export enum StoreCallKind {
  /** Checks whether the store responds to the peer. */
  Probe = "probe",
  Read = "read",
  Scan = "scan",
  ScanPage = "scan-page",
  Transact = "transact",
  Snapshot = "snapshot",
  Changes = "changes",
  /** Asks the peer to guard endpoints while there is no coordinator. */
  GuardStarts = "guard-starts",
  /** Hands starts that earlier coordinators revoked over to the coordinator. */
  HandOverStarts = "hand-over-starts",
}

/** A call to a peer, which mostly makes a call to the store on behalf of this box. */
export type StoreCall =
  | { readonly kind: StoreCallKind.Probe }
  | { readonly kind: StoreCallKind.Read; readonly keys: readonly string[] }
  | {
    readonly kind: StoreCallKind.Scan;
    readonly prefix: string;
    readonly afterRevision: number;
  }
  | {
    readonly kind: StoreCallKind.ScanPage;
    readonly prefix: string;
    readonly ask: pages.PageRequest;
  }
  | { readonly kind: StoreCallKind.Transact; readonly tx: tables.Transaction }
  | {
    readonly kind: StoreCallKind.Snapshot;
    readonly feed: string;
    readonly partition: string;
    readonly ask: pages.PageRequest;
  }
  | {
    readonly kind: StoreCallKind.Changes;
    readonly feed: string;
    readonly position: number;
    readonly waitMs: number;
  }
  | {
    readonly kind: StoreCallKind.GuardStarts;
    /** Fencing token of the coordinator that sent the starts. */
    readonly fencingToken: number;
    /** Replaces the starts of earlier calls; null if they are unchanged. */
    readonly starts: readonly endpoints.RevokedStart[] | null;
  }
  | {
    readonly kind: StoreCallKind.HandOverStarts;
    /** Fencing token of the coordinator that the call is meant for. */
    readonly fencingToken: number;
    readonly starts: readonly endpoints.RevokedStart[];
  };

/** Result of a relayed call. */
export enum StoreOutcome {
  Done = "done",
  /** The call had no effect. */
  Unavailable = "unavailable",
  /** A write whose response was lost; it may have taken effect. */
  AnswerLost = "answer-lost",
  ConditionFailed = "condition-failed",
  HistoryLost = "history-lost",
  WriteRefused = "write-refused",
}

/** A peer's reply; `value` is the result or the details of the failure. */
export interface StoreReply {
  readonly outcome: StoreOutcome;
  readonly value: unknown;
}

/** A box that can relay calls. */
export interface StorePeer {
  readonly node: string;
  /** host:port */
  readonly address: string;
}

/** Port of the connections that relay store calls between boxes. */
export abstract class StorePeers {
  /** Installs the handler for peers' calls; called once at the start. */
  abstract listen(
    handler: (call: StoreCall) => Effect.Effect<StoreReply>,
  ): Effect.Effect<void, Errors.ListenError>;

  /** Calls a peer, connecting to it first if necessary. */
  abstract call(
    peer: StorePeer,
    call: StoreCall,
    timeoutMs: number,
  ): Effect.Effect<StoreReply, Errors.PeerUnreachableError>;

  /** Closes all connections. */
  abstract close(): Effect.Effect<void>;
}
