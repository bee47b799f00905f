/** One term of the coordinator: takes over, then lets its parts work. */
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as advice from "./advice_book.ts";
import * as describing from "./describe.ts";
import type * as terms from "../election/term.ts";
import * as guarantees from "./guarantee_watch.ts";
import * as fences from "./partition_fences.ts";
import * as plannings from "./planning.ts";
import type * as ports from "../ports.ts";
import * as recorders from "./recorder.ts";
import * as recoveries from "./recovery.ts";
import * as rowFollowers from "./row_followers.ts";
import * as controls from "./run_control.ts";
import * as runEnds from "./run_ends.ts";
import * as watches from "../endpoints/run_watch.ts";
import * as directories from "../endpoints/worker_directory.ts";
import * as books from "./workflow_book.ts";
import * as workflowIntakes from "./workflow_intake.ts";

const SWEEP_MS = 5000;
/** Time between two looks at all running tasks. */
const WATCH_MS = 400;
/** A store that is silent for this long holds up plans. */
const STORE_SILENT_MS = 600;

/** Coordinates all workflows under one fencing token. */
export class Coordinator {
  readonly #ports: ports.CoordinatorPorts;
  readonly #term: terms.Term;
  readonly #electedAtMs: number;
  readonly #recovery: recoveries.Recovery;
  readonly #recorder: recorders.Recorder;
  readonly #book: books.WorkflowBook;
  readonly #directory: directories.WorkerDirectory;
  readonly #control: controls.RunControl;
  readonly #intake: workflowIntakes.WorkflowIntake;
  readonly #ends: runEnds.RunEnds;
  readonly #watch: watches.RunWatch;
  readonly #planning: plannings.Planning;
  readonly #guarantees: guarantees.GuaranteeWatch;

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    term: terms.Term,
  ) {
    this.#ports = coordinatorPorts;
    this.#term = term;
    this.#electedAtMs = coordinatorPorts.clock.monotonicMs();
    const shared = { ports: coordinatorPorts, term };
    const held = new fences.PartitionFences(coordinatorPorts, term);
    const recovery = new recoveries.Recovery(coordinatorPorts, term, held);
    this.#recovery = recovery;
    const recorder = new recorders.Recorder({
      ...shared,
      fences: held,
      onCancelled: (mark) => this.#intake.cancel(mark),
    });
    this.#recorder = recorder;
    const book = new books.WorkflowBook({
      ports: coordinatorPorts,
      fences: held,
      recorder,
      recovery,
    });
    this.#book = book;
    const advisor = new advice.AdviceBook({
      advisor: coordinatorPorts.advisor,
      clock: coordinatorPorts.clock,
      onAdvice: () => this.#planning.wake(),
    });
    const ends = new runEnds.RunEnds({
      ports: coordinatorPorts,
      recorder,
      book,
      control: () => this.#control,
      onLife: (id) => {
        this.#directory.lifeBegan(id);
        advisor.forget(id);
      },
      onRoom: () => this.#planning.wake(),
    });
    this.#ends = ends;
    const directory = new directories.WorkerDirectory({
      ...shared,
      listener: ends,
      recovery,
    });
    this.#directory = directory;
    this.#guarantees = new guarantees.GuaranteeWatch(
      coordinatorPorts,
      directory,
    );
    const parts = { ports: coordinatorPorts, directory, advice: advisor };
    const control = new controls.RunControl({ ...parts, recorder });
    this.#control = control;
    this.#intake = new workflowIntakes.WorkflowIntake({
      recorder,
      book,
      control,
    });
    this.#watch = new watches.RunWatch(coordinatorPorts, directory, control);
    this.#planning = new plannings.Planning({
      ...parts,
      control,
      live: () => book.live,
      unrecorded: () => book.unrecorded,
      prepare: () => this.#preparePlan(),
    });
  }

  /** What this coordinator knows, for people. */
  dump(): describing.CoordinatorDump {
    return {
      token: this.#term.token,
      lateMs: Math.round(this.#directory.lateMs),
      workflows: this.#book.open.map((workflow) =>
        describing.describeWorkflow(
          workflow,
          this.#waitOf(workflow),
        )
      ),
      workers: this.#directory.states().map(describing.describeWorker),
      evacuations: describing.describeEvacuations(
        this.#ports.evacuations.list(),
        this.#directory,
      ),
      guarantees: this.#guarantees.describe(),
    };
  }

  #waitOf({ spec: { id } }: Workflow.Workflow): describing.WaitDump | null {
    const wait = this.#planning.waitOf(id);
    if (wait === null) return null;
    const forMs = this.#ports.clock.monotonicMs() - wait.sinceMs;
    return { reason: wait.reason, forMs: Math.round(forMs) };
  }

  /** Runs until interrupted. */
  run(): Effect.Effect<void> {
    const rows = this.#followRows();
    const { clock } = this.#ports;
    const work = Effect.gen({ self: this }, function* () {
      yield* Effect.all([
        this.#recovery.awaitUsable(),
        rows.readListings(),
      ], { concurrency: "unbounded", discard: true });
      yield* rows.readIntake();
      this.#begin();
      yield* Effect.all([
        ...rows.run(),
        this.#recorder.run(),
        this.#planning.run(),
        clock.every(SWEEP_MS, this.#book.sweep()),
        clock.every(WATCH_MS, Effect.sync(() => this.#lookAtRuns())),
      ], { concurrency: "unbounded", discard: true });
    });
    const all = Effect.all([this.#recovery.openAll(), work], {
      concurrency: "unbounded",
      discard: true,
    });
    return Effect.ensuring(all, this.#directory.close());
  }

  #followRows(): rowFollowers.RowFollowers {
    return new rowFollowers.RowFollowers({
      ports: this.#ports,
      recovery: this.#recovery,
      onListings: (entries) => {
        this.#directory.update(entries);
        this.#planning.wake();
      },
      onIntake: (events) => {
        this.#intake.take(events);
        this.#planning.wake();
      },
      onAllRead: () => this.#noteAllRead(),
    });
  }

  #noteAllRead(): void {
    this.#recovery.complete();
    this.#ports.log.info(`All partitions are read: ${this.#book.size} known.`);
    this.#intake.concludeAll();
    this.#planning.wake();
  }

  #begin(): void {
    const { clock, log, metrics } = this.#ports;
    this.#control.begin();
    const tookMs = clock.monotonicMs() - this.#electedAtMs;
    metrics.observeMs("cairngate_takeover_seconds", tookMs);
    log.info(
      `Took over ${this.#book.size} workflows under token ` +
        `${this.#term.token} in ${Math.round(tookMs)} ms.`,
    );
  }

  #lookAtRuns(): void {
    this.#watch.look();
    this.#guarantees.look();
  }

  /**
   * No plan while the store is silent: its orders would not leave. None either while
   * a data centre may be evacuated without this box's knowledge.
   */
  #preparePlan(): boolean {
    for (const missing of this.#control.takeMissing()) {
      Effect.runFork(this.#ends.endMissing(missing));
    }
    const silentMs = this.#ports.store.silentForMs();
    return silentMs < STORE_SILENT_MS && !this.#term.isLost &&
      !this.#ports.evacuations.mayBeLate;
  }
}
