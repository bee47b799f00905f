/**
 * Looks at one endpoint: each of them renews the lease and reads what runs and what
 * has ended, after it has told whose life answers.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as reportedEnds from "./end_ledger.ts";
import * as endpointOrders from "./endpoint_orders.ts";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as unanswered from "./endpoint_silence.ts";
import type * as endpointStates from "./endpoint_state.ts";
import * as assignments from "./occupant.ts";
import * as currentIncarnations from "./present_life.ts";
import type * as sessionOptions from "./session_options.ts";
import type * as views from "./view_reader.ts";

/** What the looks work with. */
export interface EndpointPollerOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
  readonly orders: endpointOrders.EndpointOrders;
  readonly unansweredPolls: unanswered.UnansweredPolls;
  readonly viewReader: views.ViewReader;
}

/** What one look asks. */
interface PollRequest {
  readonly ends: reportedEnds.ReportedEnds;
  /** Number up to which ends are told to be recorded. */
  readonly recordedEnds: number;
  readonly waitMs: number;
}

/** What it was answered. */
interface PollAnswer {
  readonly view: Ports.EndpointView;
  /** When the order left. */
  readonly sentAtMs: number;
  readonly sentEvent: currentIncarnations.EventNumber;
}

/** A look that waits for no end, in ms: somebody waits for what it tells. */
export const NO_WAIT_MS = 0;
/** A look may take this much longer than it was asked to wait, in ms. */
const POLL_SLACK_MS = 800;
/** Longest wait of a look at a worker with lasting tasks only, in ms. */
const MAX_LASTING_WAIT_MS = 1000;
/** Endpoints wait no longer than this for an end, in ms, by their protocol. */
const MAX_WAIT_MS = 2000;
/**
 * A store that answers nothing for this long, in ms, is not heard: together with the
 * time in which a call fails less than what others wait before they take a term over.
 */
const STORE_UNREACHABLE_MS = 300;
/** Delay before each hedged look while the first one is unanswered, in ms. */
const HEDGE_DELAY_MS = 150;
/** Maximum number of hedged looks sent while one look is unanswered. */
const MAX_HEDGES = 4;
/** Looks in the time of one lease, so that two may be lost. */
const POLLS_PER_LEASE = 3;

/** Looks at one endpoint. */
export class EndpointPoller {
  readonly #options: EndpointPollerOptions;
  #isPollingNow = false;
  /** Number of looks answered so far. */
  #answerCount = 0;
  /** When the newest look left whose answer was read. */
  #lastReadSentAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: EndpointPollerOptions) {
    this.#options = options;
  }

  /** One more look beside the one that may be open; one at a time. */
  pollNow(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#options.state.isOver || this.#isPollingNow) return Effect.void;
      this.#isPollingNow = true;
      return Effect.ensuring(
        this.poll(NO_WAIT_MS),
        Effect.sync(() => {
          this.#isPollingNow = false;
        }),
      );
    });
  }

  /**
   * Sends one look. While it is unanswered and the endpoint may still accept starts from
   * an earlier coordinator, sends further looks in parallel: any of them can deliver the
   * fencing token with which the endpoint refuses such starts.
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
        ? Effect.raceFirst(this.poll(), sendHedges)
        : this.poll()
    );
  }

  /** One look at the endpoint, which also renews its lease. */
  poll(mostWaitMs = MAX_WAIT_MS): Effect.Effect<void> {
    const { state, unansweredPolls, options: { load } } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const waitMs = Math.min(mostWaitMs, this.#waitMs());
      const { ends } = state.incarnation;
      const request = { ends, recordedEnds: ends.recorded, waitMs };
      const renew = Effect.suspend(() => this.#renew(request));
      const isAnsweredAtOnce = waitMs === 0 && state.isReachable;
      const countBefore = this.#answerCount;
      const answer = yield* isAnsweredAtOnce ? load.withSlot(renew) : renew;
      if (answer === null) {
        // Another look was answered meanwhile: only this connection is silent.
        if (this.#answerCount === countBefore) yield* unansweredPolls.handle();
        return;
      }
      this.#answerCount++;
      if (this.#identify(answer)) yield* this.#process(answer, request);
    });
  }

  #renew(
    { recordedEnds, waitMs }: PollRequest,
  ): Effect.Effect<PollAnswer | null> {
    const { state, orders, options: { ports, term } } = this.#options;
    const { incarnation } = state;
    const sentAtMs = ports.clock.monotonicMs();
    const sentEvent = incarnation.current.noteSent();
    const order = ports.workers.renew(state.ref, {
      fencingToken: term.token,
      // A worker that is not heard gets no longer lease: it has to lapse.
      leaseUntilMs:
        incarnation.clock.isKnown && state.isReachable && this.#mayLease
          ? incarnation.leaseEnd(sentAtMs)
          : null,
      recordedEnds,
      recordedBy: incarnation.bornMs,
      waitMs,
    });
    return Effect.map(
      orders.call(order, waitMs + POLL_SLACK_MS),
      (view) => view === null ? null : { view, sentAtMs, sentEvent },
    );
  }

  /**
   * A box that does not hear the store may have been followed by another one: it gives
   * leases only where others say that they don't hear it either.
   */
  get #mayLease(): boolean {
    const { store, outage } = this.#options.options.ports;
    return store.silentForMs() < STORE_UNREACHABLE_MS || outage.isShared();
  }

  /** Takes in the answer of the life that is present. */
  #process(
    { view, sentAtMs }: PollAnswer,
    { ends, recordedEnds, waitMs }: PollRequest,
  ): Effect.Effect<void> {
    const { state, runs, options: { ports: { clock } } } = this.#options;
    return Effect.gen({ self: this }, function* () {
      state.incarnation.endEvidence.noteAnswered();
      this.#noteDelay(clock.monotonicMs() - sentAtMs, waitMs);
      this.#noteAnswered();
      // What a later look was answered is newer; ends that it did not tell come again.
      if (sentAtMs < this.#lastReadSentAtMs) return;
      this.#lastReadSentAtMs = sentAtMs;
      runs.prematureEnds.checkView(view);
      ends.noteAcknowledged(view.toldEnds);
      state.incarnation.clock.read(view.clockMs, clock.monotonicMs());
      yield* this.#options.viewReader.process(view, sentAtMs);
      // It was not sure who would answer; the next look goes where this one did.
      if (ends.hasUnacknowledged && recordedEnds > view.toldEnds) {
        yield* clock.sleep(endpointOrders.RETRY_DELAY_MS);
      }
    });
  }

  #noteAnswered(): void {
    const { state, options } = this.#options;
    state.noteAnswered();
    options.onHeard(state.ref);
    if (!state.markUsable()) return;
    options.silences.noteHeard(state.ref);
    options.listener.roomChanged();
  }

  /** Notes which life answers; false where that is not clear. */
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
      `Endpoint ${id} at ${address} has begun again: it was born at ` +
        `${state.incarnation.bornMs}, the life before at ${previousBornMs}.`,
    );
  }

  #startIncarnation(): void {
    const { state, viewReader, options: { listener } } = this.#options;
    state.incarnation.reset();
    viewReader.startIncarnation();
    listener.lifeBegan(state);
  }

  /** An answer that came before the time brings an end: it tells no delay. */
  #noteDelay(tookMs: number, waitMs: number): void {
    const { load } = this.#options.options;
    if (tookMs >= waitMs) load.addSample(tookMs - waitMs);
  }

  /** How long the endpoint may wait for an end: not where there is something to do. */
  #waitMs(): number {
    if (!this.#isSettled) return 0;
    const { runs: { tracked }, options } = this.#options;
    const { longestLeaseMs } = options.ports.bounds;
    const reportsProgress = tracked.all.some(({ task }) => !task.step.lasting);
    const longestMs = reportsProgress
      ? options.progressWaitMs()
      : MAX_LASTING_WAIT_MS;
    const leaseShareMs = Math.floor(longestLeaseMs / POLLS_PER_LEASE);
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
