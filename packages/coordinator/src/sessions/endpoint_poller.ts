/**
 * Polls one endpoint. Each poll renews the lease, determines which incarnation
 * answers, and reads which runs it holds and which have ended.
 */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as reportedEnds from "./reported_ends.ts";
import * as endpointOrders from "./endpoint_orders.ts";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as unanswered from "./unanswered_polls.ts";
import type * as endpointStates from "./endpoint_state.ts";
import * as assignments from "./assignment.ts";
import * as currentIncarnations from "./current_incarnation.ts";
import type * as sessionOptions from "./session_options.ts";
import type * as views from "./view_reader.ts";

/** Dependencies of the poller. */
export interface EndpointPollerOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
  readonly orders: endpointOrders.EndpointOrders;
  readonly unansweredPolls: unanswered.UnansweredPolls;
  readonly viewReader: views.ViewReader;
}

/** Parameters of one poll. */
interface PollRequest {
  readonly ends: reportedEnds.ReportedEnds;
  /** Number up to which the poll acknowledges ends as recorded. */
  readonly recordedEnds: number;
  readonly waitMs: number;
  readonly renewsLease: boolean;
}

/** Answer to one poll. */
interface PollAnswer {
  readonly view: Ports.EndpointReport;
  /** Time at which the poll was sent, in ms of the monotonic clock of this box. */
  readonly sentAtMs: number;
  readonly sentEvent: currentIncarnations.EventNumber;
  /** End of the lease that the poll granted, on the endpoint's clock; null for none. */
  readonly leaseUntilMs: number | null;
}

/** Wait of a poll that is answered at once, in ms, for callers that need its answer. */
export const NO_WAIT_MS = 0;
/** Time in ms that a poll may take beyond the requested wait. */
const POLL_SLACK_MS = 800;
/** Maximum wait of a poll at an endpoint that has lasting tasks only, in ms. */
const MAX_LASTING_WAIT_MS = 1000;
/** Maximum time that endpoints wait for an end, in ms, defined by their protocol. */
const MAX_WAIT_MS = 2000;
/** Delay before each hedged poll while the first one is unanswered, in ms. */
const HEDGE_DELAY_MS = 150;
/** Maximum number of hedged polls sent while one poll is unanswered. */
const MAX_HEDGES = 4;
/** Number of polls within one lease, so that two may be lost. */
const POLLS_PER_LEASE = 3;

/** Polls one endpoint. */
export class EndpointPoller {
  readonly #options: EndpointPollerOptions;
  #isPollingNow = false;
  /** Number of polls answered so far. */
  #answerCount = 0;
  /** Time at which the newest processed poll was sent. */
  #lastReadSentAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: EndpointPollerOptions) {
    this.#options = options;
  }

  /** Sends one more poll beside the one that may be open; one at a time. */
  pollNow(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#options.state.isOver || this.#isPollingNow) return Effect.void;
      this.#isPollingNow = true;
      return Effect.ensuring(
        Effect.asVoid(this.poll(NO_WAIT_MS)),
        Effect.sync(() => {
          this.#isPollingNow = false;
        }),
      );
    });
  }

  /**
   * Sends one poll. While it is unanswered and the endpoint may still accept starts
   * from an earlier coordinator, sends further polls in parallel: any of them can
   * deliver the fencing token with which the endpoint refuses such starts.
   */
  pollHedged(): Effect.Effect<void> {
    const { state, options: { load, ports: { clock } } } = this.#options;
    const sendHedges = Effect.gen({ self: this }, function* () {
      for (let sent = 0; sent < MAX_HEDGES; sent++) {
        yield* clock.sleep(load.extendLimit(HEDGE_DELAY_MS));
        if (!state.mayAcceptStaleStarts) break;
        Effect.runFork(this.poll(NO_WAIT_MS));
      }
      return yield* Effect.never;
    });
    return Effect.suspend(() =>
      state.mayAcceptStaleStarts
        ? Effect.raceFirst(Effect.asVoid(this.poll()), sendHedges)
        : Effect.asVoid(this.poll())
    );
  }

  /**
   * Sends several polls one after another until one is answered, without waiting for
   * the earlier ones, whose connections may be silent. Returns whether one was answered.
   * They renew no lease: the endpoint may be gone.
   */
  pollUntilAnswered(): Effect.Effect<boolean> {
    const { state, options: { load, ports: { clock } } } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const answered = Deferred.makeUnsafe<void>();
      const poll = Effect.map(this.poll(NO_WAIT_MS, false), (isAnswered) => {
        if (isAnswered) Deferred.doneUnsafe(answered, Effect.void);
      });
      for (let sent = 0; sent < MAX_HEDGES && !state.isOver; sent++) {
        Effect.runFork(poll);
        const limitMs = load.extendLimit(HEDGE_DELAY_MS);
        const timed = yield* clock.within(limitMs, Deferred.await(answered));
        if (timed !== null) return true;
      }
      return false;
    });
  }

  /**
   * Sends one poll, which usually renews the lease of the endpoint. Returns whether it
   * was answered.
   */
  poll(
    mostWaitMs = MAX_WAIT_MS,
    renewsLease = true,
  ): Effect.Effect<boolean> {
    const { state, unansweredPolls, options: { load } } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const waitMs = Math.min(mostWaitMs, this.#waitMs());
      const { ends } = state.incarnation;
      const { recorded: recordedEnds } = ends;
      const request = { ends, recordedEnds, waitMs, renewsLease };
      const renew = Effect.suspend(() => this.#renew(request));
      const isAnsweredAtOnce = waitMs === 0 && state.isReachable;
      const countBefore = this.#answerCount;
      const answer = yield* isAnsweredAtOnce ? load.withSlot(renew) : renew;
      if (answer === null) {
        // Where another poll was answered meanwhile, only this connection is silent.
        if (this.#answerCount === countBefore) yield* unansweredPolls.handle();
        return false;
      }
      this.#answerCount++;
      if (!this.#identify(answer)) return false;
      yield* this.#process(answer, request);
      return true;
    });
  }

  #renew(
    { recordedEnds, waitMs, renewsLease }: PollRequest,
  ): Effect.Effect<PollAnswer | null> {
    const { state, orders, options: { ports, term } } = this.#options;
    const { incarnation } = state;
    const sentAtMs = ports.clock.monotonicMs();
    const sentEvent = incarnation.current.noteSent();
    // Not extended while the endpoint does not answer, so that the lease expires.
    const mayRenew = renewsLease && incarnation.clock.isKnown &&
      state.isReachable && term.grants.mayGrant();
    const leaseUntilMs = mayRenew ? incarnation.leaseEnd(sentAtMs) : null;
    const order = ports.endpoints.renew(state.ref, {
      fencingToken: term.token,
      leaseUntilMs,
      recordedEnds,
      recordedBy: incarnation.bornMs,
      waitMs,
    });
    return Effect.map(
      orders.call(order, state.cutToLapse(waitMs + POLL_SLACK_MS)),
      (view) =>
        view === null ? null : { view, sentAtMs, sentEvent, leaseUntilMs },
    );
  }

  /** Processes the answer of the current incarnation. */
  #process(
    { view, sentAtMs, leaseUntilMs }: PollAnswer,
    { ends, recordedEnds, waitMs }: PollRequest,
  ): Effect.Effect<void> {
    const { state, runs, options: { ports: { clock } } } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const nowMs = clock.monotonicMs();
      if (leaseUntilMs !== null) {
        const { clockMs } = view;
        const lease = { leaseUntilMs, clockMs, sentAtMs, nowMs };
        state.incarnation.confirmLease(lease);
      }
      state.incarnation.endEvidence.noteAnswered();
      this.#noteDelay(nowMs - sentAtMs, waitMs);
      this.#noteAnswered();
      // The answer to a later poll is newer; ends missing from it are reported again.
      if (sentAtMs < this.#lastReadSentAtMs) return;
      this.#lastReadSentAtMs = sentAtMs;
      runs.prematureEnds.checkView(view);
      ends.noteAcknowledged(view.toldEnds);
      state.incarnation.clock.read(view.clockMs, clock.monotonicMs());
      yield* this.#options.viewReader.process(view, sentAtMs);
      // The acknowledgement was withheld, as it was not certain which incarnation
      // would answer. The next poll goes where this one went.
      if (ends.hasUnacknowledged && recordedEnds > view.toldEnds) {
        yield* clock.sleep(endpointOrders.RETRY_DELAY_MS);
      }
    });
  }

  #noteAnswered(): void {
    const { state, options } = this.#options;
    state.noteAnswered();
    options.onAnswered(state.ref);
    if (!state.markUsable()) return;
    options.failureLog.noteAnswered(state.ref);
    options.listener.capacityChanged();
  }

  /** Determines which incarnation answers; false where that is unclear. */
  #identify({ view, sentEvent }: PollAnswer): boolean {
    const { state: { incarnation }, runs } = this.#options;
    const previousBornMs = incarnation.bornMs;
    const isFirst = !incarnation.current.hasAnswered;
    const answeredBy = incarnation.current.noteAnswer(view.bornMs, sentEvent);
    if (answeredBy === currentIncarnations.AnswerOrigin.Unclear) return false;
    const isNew = answeredBy === currentIncarnations.AnswerOrigin.Newer;
    if (isNew) this.#logRestart(previousBornMs);
    runs.previous.endAbsent({
      view,
      isNew,
      isFirst,
      previousBornMs,
      evidence: incarnation.endEvidence,
      hasEnded: incarnation.hasEnded,
    });
    if (isNew) this.#startIncarnation();
    return true;
  }

  #logRestart(previousBornMs: number | null): void {
    const { state, options: { ports: { log, metrics } } } = this.#options;
    const { id, address } = state.ref;
    metrics.count("cairngate_endpoint_rebirths_total");
    log.info(
      `Endpoint ${id} at ${address} has begun again: its process started at ` +
        `${state.incarnation.bornMs}, the previous one at ${previousBornMs}.`,
    );
  }

  #startIncarnation(): void {
    const { state, viewReader, options: { listener } } = this.#options;
    state.incarnation.reset();
    viewReader.startIncarnation();
    listener.incarnationStarted(state);
  }

  /** Ignores answers before the requested wait is over: ends cause those. */
  #noteDelay(tookMs: number, waitMs: number): void {
    const { load } = this.#options.options;
    if (tookMs >= waitMs) load.addSample(tookMs - waitMs);
  }

  /** Time to wait for an end, in ms; 0 while something has to be sent or read. */
  #waitMs(): number {
    if (!this.#isSettled) return 0;
    const { runs: { tracked }, options } = this.#options;
    const { grantedLeaseMs } = this.#options.state.incarnation;
    const reportsProgress = tracked.all.some(({ task }) => !task.step.lasting);
    const longestMs = reportsProgress
      ? options.progressWaitMs()
      : MAX_LASTING_WAIT_MS;
    const leaseShareMs = Math.floor(grantedLeaseMs / POLLS_PER_LEASE);
    return Math.min(longestMs, leaseShareMs, MAX_WAIT_MS);
  }

  get #isSettled(): boolean {
    const { state: { incarnation, isReachable }, runs, viewReader } =
      this.#options;
    return incarnation.clock.isKnown && isReachable &&
      !incarnation.ends.hasUnacknowledged &&
      viewReader.unexpectedCount === 0 &&
      runs.tracked.all.every((one) =>
        !one.isSent || one.expectedSinceMs !== assignments.EARLIER_TERM
      );
  }
}
