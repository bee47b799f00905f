/** Requests and replies between boxes. */
import type * as Errors from "@cairngate/errors";
import type * as Types from "@cairngate/types";
import type * as Effect from "effect/Effect";

/** Answers a request of another box. A failure is sent back as it is. */
export type PeerHandler = (
  from: string,
  req: Types.PeerRequest,
) => Effect.Effect<unknown, Errors.NotOwnerError | Errors.NotReadyError>;

/** Port of the links between boxes. */
export abstract class PeerNetwork {
  /** Names of the other boxes, from the settings. */
  abstract peers(): readonly string[];

  /** Sets who answers requests; called once at start. */
  abstract listen(
    handler: PeerHandler,
  ): Effect.Effect<void, Errors.ListenError>;

  /** Whether this box's link to a peer is open. */
  abstract isOpen(box: string): boolean;

  /** Sends a message that has no reply; lost where no link is open. */
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

  /** Closes all links. */
  abstract close(): Effect.Effect<void>;
}
