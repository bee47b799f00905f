/** Requests and replies between boxes. */
import type * as Errors from "@cairngate/errors";
import type * as Types from "@cairngate/types";
import type * as Effect from "effect/Effect";

/** Handles a request of another box. A failure is returned to the sender. */
export type PeerHandler = (
  from: string,
  req: Types.PeerRequest,
) => Effect.Effect<unknown, Errors.NotOwnerError | Errors.NotReadyError>;

/** Port of the connections between boxes. */
export abstract class PeerNetwork {
  /** Names of the other boxes, from the settings. */
  abstract peers(): readonly string[];

  /** Installs the request handler; called once at the start. */
  abstract listen(
    handler: PeerHandler,
  ): Effect.Effect<void, Errors.ListenError>;

  /** Whether the connection to a peer is open. */
  abstract isOpen(box: string): boolean;

  /** Sends a message without a reply; dropped if no connection is open. */
  abstract notify(box: string, req: Types.PeerRequest): void;

  /** Sends a request and waits for its reply. */
  abstract request(
    box: string,
    req: Types.PeerRequest,
    timeoutMs: number,
  ): Effect.Effect<
    unknown,
    | Errors.PeerUnreachableError
    | Errors.NotOwnerError
    | Errors.NotReadyError
  >;

  /** Closes all connections. */
  abstract close(): Effect.Effect<void>;
}
