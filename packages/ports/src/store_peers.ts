/** Calls to the store that go through another node. */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";
import type * as pages from "./page_ask.ts";
import type * as tables from "./table_service.ts";

/** Kinds of calls. */
export enum StoreCallKind {
  /** Asks whether the store answers the peer. */
  Probe = "probe",
  Read = "read",
  Scan = "scan",
  ScanPage = "scan-page",
  Transact = "transact",
  Snapshot = "snapshot",
  Changes = "changes",
}

/** A call that a peer makes for this node. */
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
    readonly ask: pages.PageAsk;
  }
  | { readonly kind: StoreCallKind.Transact; readonly tx: tables.Transaction }
  | {
    readonly kind: StoreCallKind.Snapshot;
    readonly feed: string;
    readonly partition: string;
    readonly ask: pages.PageAsk;
  }
  | {
    readonly kind: StoreCallKind.Changes;
    readonly feed: string;
    readonly position: number;
    readonly waitMs: number;
  };

/** What became of a call. */
export enum StoreOutcome {
  Done = "done",
  /** Nothing was done. */
  Unavailable = "unavailable",
  /** A write that may have been done. */
  AnswerLost = "answer-lost",
  ConditionFailed = "condition-failed",
  HistoryLost = "history-lost",
  WriteRefused = "write-refused",
}

/** A peer's reply; `value` is the result, or what describes the failure. */
export interface StoreReply {
  readonly outcome: StoreOutcome;
  readonly value: unknown;
}

/** A node that can be called. */
export interface StorePeer {
  readonly node: string;
  /** host:port */
  readonly address: string;
}

/** Port of the links between nodes. */
export abstract class StorePeers {
  /** Sets who answers the calls of peers; called once at start. */
  abstract listen(
    handler: (call: StoreCall) => Effect.Effect<StoreReply>,
  ): Effect.Effect<void, Errors.ListenError>;

  /** Calls a peer; opens a link where there is none. */
  abstract call(
    peer: StorePeer,
    call: StoreCall,
    timeoutMs: number,
  ): Effect.Effect<StoreReply, Errors.PeerUnreachableError>;

  /** Closes all links. */
  abstract close(): Effect.Effect<void>;
}
