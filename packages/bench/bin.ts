/** `npm run bench`: the command line of the scheduler comparison. */
import * as Scheduler from "@cairngate/scheduler";
import * as Clipanion from "clipanion";
import process from "node:process";
import * as rendering from "./src/render_report.ts";
import * as bench from "./src/run_bench.ts";
import * as traceFiles from "./src/trace_file.ts";
import * as traces from "./src/traces.ts";

const EXIT_INVALID = 2;
const DEPLOYMENTS = ["polni_data", "dala_toll"];

class BenchCommand extends Clipanion.Command {
  static override paths = [Clipanion.Command.Default];
  static override usage = Clipanion.Command.Usage({
    description: "Compare the policies with the naive scheduler",
    examples: [
      ["Polní Data, a normal day", "npm run bench"],
      ["The target size", "npm run bench -- --trace target --workers 2900"],
      ["Your own trace", "npm run bench -- --trace my.jsonl --json"],
    ],
  });
  deployment = Clipanion.Option.String("--deployment", "polni_data");
  seed = Clipanion.Option.String("--seed", "1");
  trace = Clipanion.Option.String("--trace", {
    description: `A file of JSON lines, or one of ${
      traces.TRACE_NAMES.join(", ")
    }`,
  });
  policy = Clipanion.Option.String("--policy", {
    description: `One of ${Scheduler.POLICY_NAMES.join(", ")}, or all`,
  });
  workers = Clipanion.Option.String("--workers", "30");
  json = Clipanion.Option.Boolean("--json", false);

  override async execute(): Promise<number> {
    const options = this.#readOptions();
    if (options === null) return EXIT_INVALID;
    try {
      const report = await bench.runBench(options);
      const text = this.json
        ? JSON.stringify(report)
        : rendering.renderReport(report).join("\n");
      this.context.stdout.write(`${text}\n`);
      return 0;
    } catch (err) {
      if (!(err instanceof traceFiles.InvalidTraceError)) throw err;
      this.context.stderr.write(`${err.message}\n`);
      return EXIT_INVALID;
    }
  }

  #readOptions(): bench.BenchOptions | null {
    const trace = this.trace ??
      (this.deployment === "dala_toll" ? "night" : "normal");
    const isNamed = traces.TRACE_NAMES.includes(trace as traces.TraceName);
    const policies = this.#readPolicies();
    const workers = Number(this.workers);
    const isValid = DEPLOYMENTS.includes(this.deployment) &&
      Number.isInteger(workers) && workers > 0 && policies !== null;
    if (!isValid) {
      this.context.stderr.write(
        "The value of --deployment, --policy or --workers is invalid; see --help.\n",
      );
      return null;
    }
    return {
      deployment: this.deployment as bench.BenchOptions["deployment"],
      seed: Number(this.seed),
      trace: isNamed ? trace as traces.TraceName : "normal",
      traceFile: isNamed ? null : trace,
      policies,
      workers,
    };
  }

  #readPolicies(): Scheduler.PolicyName[] | null {
    if (this.policy === undefined) return ["default"];
    if (this.policy === "all") return [...Scheduler.POLICY_NAMES];
    const name = this.policy as Scheduler.PolicyName;
    if (!Scheduler.POLICY_NAMES.includes(name)) return null;
    return name === "default" ? [name] : [name, "default"];
  }
}

const cli = new Clipanion.Cli({
  binaryName: "bench",
  binaryVersion: "0.1.0",
});
cli.register(BenchCommand);
cli.register(Clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
