/** `npm run measure`: the command line of the measurements. */
import * as Clipanion from "clipanion";
import process from "node:process";
import * as plans from "./src/workflow_plans.ts";
import * as measuring from "./src/run_measurements.ts";

/** Endpoints of a small site, of the largest site, and of two planned sizes. */
const FLEET_SIZES: readonly number[] = [33, 380, 1000, 2900];
/** Waiting tasks, from those of a busy minute to those of the full planned size. */
const WAITING_TASK_COUNTS: readonly number[] = [500, 5000, 20_000];

class MeasureCommand extends Clipanion.Command {
  static override paths = [Clipanion.Command.Default];
  static override usage = Clipanion.Command.Usage({
    description: "Measure the slopes of docs/CAPACITY.md",
    examples: [["As JSON", "npm run measure -- --json"]],
  });
  only = Clipanion.Option.String("--only", {
    description: "Run one series: workers, reports, boxes, tasks, rates",
  });
  json = Clipanion.Option.Boolean("--json", false);
  plans = Clipanion.Option.Boolean("--plans", false, {
    description: "Only measure the planning time for workflows, by fleet size",
  });

  override async execute(): Promise<number> {
    if (this.plans) return this.#measurePlans();
    const report = await measuring.runMeasurements((line) => {
      this.context.stderr.write(`${line}\n`);
    }, this.only ?? null);
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify(report)}\n`);
      return 0;
    }
    for (const slope of report.slopes) {
      const { of, per, intercept, residual } = slope;
      const line = `${of.padEnd(22)} per ${per.padEnd(20)} ` +
        `${slope.slope.toPrecision(3).padStart(10)} + ` +
        `${intercept.toPrecision(3).padStart(10)}  ` +
        `residual ${residual.toFixed(2)}`;
      this.context.stdout.write(`${line}\n`);
    }
    for (const { boxes, maxMs } of report.propagation) {
      this.context.stdout.write(
        `in force on ${boxes} boxes after at most ${maxMs.toFixed(0)} ms\n`,
      );
    }
    return 0;
  }

  #measurePlans(): number {
    for (const workers of FLEET_SIZES) {
      this.#printPlan("full fleet", plans.measurePlans(workers));
      for (const waiting of WAITING_TASK_COUNTS) {
        const times = plans.measureBatchPlans(workers, waiting);
        this.#printPlan("batches, half free", times);
      }
      const gang = plans.measureEvictionPlans(workers, true);
      this.#printPlan("an urgent gang, others yield", gang);
    }
    return 0;
  }

  #printPlan(what: string, times: plans.PlanTimes): void {
    this.context.stdout.write(
      `${what}: ${times.workers} workers, ${times.running} running, ` +
        `${times.waiting} waiting tasks: median ` +
        `${times.medianMs.toFixed(2)} ms, worst ${
          times.worstMs.toFixed(2)
        } ms\n`,
    );
  }
}

const cli = new Clipanion.Cli({
  binaryName: "measure",
  binaryVersion: "0.1.0",
});
cli.register(MeasureCommand);
cli.register(Clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
