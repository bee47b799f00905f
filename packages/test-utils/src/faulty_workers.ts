/** Endpoint adapter that loses orders or answers by rule. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";

/** What is lost of a call. */
export enum Loss {
  None = "none",
  /** The order never arrives. */
  Order = "order",
  /** The order is executed, but its answer never arrives. */
  Answer = "answer",
}

/** Decides what is lost of a call. */
export type LossRule = (order: string, endpoint: string) => Loss;

/** Replaces the answer of a run. */
export type AnswerRule = (answer: Types.TaskAnswer) => Types.TaskAnswer;

/** Wraps an endpoint adapter. */
export class FaultyEndpoints extends Ports.Workers {
  readonly #inner: Ports.Workers;
  rule: LossRule = () => Loss.None;
  answerRule: AnswerRule = (answer) => answer;
  /** Blocks calls while the box is paused. */
  gate: Effect.Effect<void> = Effect.void;

  constructor(inner: Ports.Workers) {
    super();
    this.#inner = inner;
  }

  override fence(endpoint: string, fence: Types.Fence) {
    return this.#apply("seal", endpoint, this.#inner.fence(endpoint, fence));
  }

  override hold(endpoint: string, order: Types.HoldOrder) {
    return this.#apply("hold", endpoint, this.#inner.hold(endpoint, order));
  }

  override start(endpoint: string, order: Types.TaskOrder) {
    return this.#apply("start", endpoint, this.#inner.start(endpoint, order));
  }

  override run(endpoint: string, order: Types.HoldOrder) {
    const run = this.#inner.run(endpoint, order);
    const changed = Effect.map(run, (answer) => this.answerRule(answer));
    return this.#apply("run", endpoint, changed);
  }

  override stop(endpoint: string, order: Types.StopOrder) {
    return this.#apply("stop", endpoint, this.#inner.stop(endpoint, order));
  }

  override report(endpoint: string, request: Types.ReportRequest) {
    const call = this.#inner.report(endpoint, request);
    return this.#apply("report", endpoint, call);
  }

  #apply<A>(
    order: string,
    endpoint: string,
    call: Effect.Effect<A, Ports.WorkerError>,
  ): Effect.Effect<A, Ports.WorkerError> {
    return Effect.suspend(() => {
      const loss = this.rule(order, endpoint);
      if (loss === Loss.None) {
        return Effect.andThen(this.gate, Effect.tap(call, () => this.gate));
      }
      const lost = Effect.fail(
        new Errors.WorkerLostError({
          worker: endpoint,
          cause: `the ${loss} was lost`,
          neverSent: false,
        }),
      );
      return loss === Loss.Order ? lost : Effect.andThen(call, lost);
    });
  }
}
