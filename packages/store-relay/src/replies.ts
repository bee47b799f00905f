/** Converts results of calls to the store to replies for a peer, and back. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Failures of calls to the store. */
export type CallError =
  | Ports.StoreError
  | Errors.ConditionFailedError
  | Errors.WriteRefusedError
  | Errors.HistoryLostError;

/** Converts the result of a call into a reply. */
export function toReply<A>(
  call: Effect.Effect<A, CallError>,
): Effect.Effect<Ports.StoreReply> {
  return Effect.match(call, {
    onSuccess: (value): Ports.StoreReply => ({
      outcome: Ports.StoreOutcome.Done,
      value,
    }),
    onFailure: toFailureReply,
  });
}

function toFailureReply(err: CallError): Ports.StoreReply {
  switch (err._tag) {
    case "StoreUnavailableError":
      return { outcome: Ports.StoreOutcome.Unavailable, value: err.cause };
    case "AnswerLostError":
      return { outcome: Ports.StoreOutcome.AnswerLost, value: err.operation };
    case "HistoryLostError":
      return { outcome: Ports.StoreOutcome.HistoryLost, value: err.position };
    case "WriteRefusedError": {
      const { key, cause } = err;
      return {
        outcome: Ports.StoreOutcome.WriteRefused,
        value: { key, cause },
      };
    }
    case "ConditionFailedError": {
      const { key, expected, actual } = err;
      const value = { key, expected, actual };
      return { outcome: Ports.StoreOutcome.ConditionFailed, value };
    }
  }
}

/** Converts a reply into the result of the relayed call. */
export function fromReply<A>(
  operation: string,
  { outcome, value }: Ports.StoreReply,
): Effect.Effect<A, CallError> {
  switch (outcome) {
    case Ports.StoreOutcome.Done:
      return Effect.succeed(value as A);
    case Ports.StoreOutcome.AnswerLost:
      return Effect.fail(new Errors.AnswerLostError({ operation }));
    case Ports.StoreOutcome.HistoryLost:
      return Effect.fail(
        new Errors.HistoryLostError({ position: Number(value) }),
      );
    case Ports.StoreOutcome.WriteRefused: {
      const fields = value as Pick<Errors.WriteRefusedError, "key" | "cause">;
      return Effect.fail(new Errors.WriteRefusedError(fields));
    }
    case Ports.StoreOutcome.ConditionFailed: {
      const fields = value as Pick<
        Errors.ConditionFailedError,
        "key" | "expected" | "actual"
      >;
      return Effect.fail(new Errors.ConditionFailedError(fields));
    }
    default: {
      const cause = `the peer answered: ${String(value)}`;
      return Effect.fail(
        new Errors.StoreUnavailableError({ operation, cause }),
      );
    }
  }
}
