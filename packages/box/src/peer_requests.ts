/** Handles the requests of other boxes. */
import type * as Cell from "@cairngate/cell";
import * as Errors from "@cairngate/errors";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as configs from "./config_manager.ts";
import type * as memberships from "./membership.ts";

/** Components that serve the requests. */
export interface PeerRequestParts {
  readonly membership: memberships.Membership;
  readonly configs: configs.ConfigManager;
  readonly owner: (cell: string) => Cell.CellOwner | null;
}

type Failure = Errors.NotOwnerError | Errors.NotReadyError;

/** Handles one request; fails if this box does not own the cell. */
export function answerPeer(
  parts: PeerRequestParts,
  req: Types.PeerRequest,
): Effect.Effect<unknown, Failure> {
  if (req.kind === Types.PeerKind.Heartbeat) {
    return Effect.sync(() => parts.membership.noteBeat(req));
  }
  if (req.kind === Types.PeerKind.FetchConfig) {
    return Effect.sync(() => parts.configs.current);
  }
  const owner = parts.owner(req.cell);
  if (owner === null) {
    const epoch = parts.membership.claimOf(req.cell)?.epoch ?? 0;
    return Effect.fail(new Errors.NotOwnerError({ cell: req.cell, epoch }));
  }
  return answerAsOwner(owner, req);
}

function answerAsOwner(
  owner: Cell.CellOwner,
  req: Exclude<Types.PeerRequest, Types.Heartbeat | Types.FetchConfig>,
): Effect.Effect<unknown, Failure> {
  switch (req.kind) {
    case Types.PeerKind.Place:
      return owner.grants.place(req);
    case Types.PeerKind.Released:
      return owner.grants.release(req);
    case Types.PeerKind.Enqueue:
      return owner.enqueue();
    case Types.PeerKind.JobStatus:
      return orNotReady(owner.jobStatus(req));
    case Types.PeerKind.Cancel:
      return orNotReady(owner.cancel(req.jobId));
    case Types.PeerKind.Explain:
      return Effect.sync(() => owner.explain(req.jobId));
    case Types.PeerKind.CellStatus:
      return Effect.sync(() => owner.status());
  }
}

function orNotReady<A>(
  work: Effect.Effect<A, Errors.StoreUnavailableError>,
): Effect.Effect<A, Errors.NotReadyError> {
  return Effect.mapError(
    work,
    () => new Errors.NotReadyError({ waitsFor: "the store" }),
  );
}
