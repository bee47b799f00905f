/** Prints the upper bound of a bench report's score: `npm run ceiling`. */
import * as Clipanion from "clipanion";
import * as fs from "node:fs";
import process from "node:process";
import * as ceilings from "./mod.ts";

/** The users' callers retry for 3 s (their `deadline ms`). */
const DEFAULT_PATIENCE_S = "3";
/** Exit code for an invalid argument or file, as in `cairngate`. */
const EXIT_BAD_INPUT = 2;

class CeilingCommand extends Clipanion.Command {
  static override paths = [Clipanion.Command.Default];
  static override usage = Clipanion.Command.Usage({
    description: "Print the highest score that a simulated day allowed",
    examples: [["Evaluate a bench report", "npm run ceiling -- report.json"]],
  });
  patience = Clipanion.Option.String("--patience", DEFAULT_PATIENCE_S, {
    description: "Seconds for which a caller retries a request",
  });
  json = Clipanion.Option.Boolean("--json", false);
  file = Clipanion.Option.String();

  override execute(): Promise<number> {
    const patienceS = Number(this.patience);
    if (!(patienceS > 0)) {
      this.context.stderr.write(
        "--patience must be a number of seconds above 0.\n",
      );
      return Promise.resolve(EXIT_BAD_INPUT);
    }
    try {
      const report = ceilings.readReport(fs.readFileSync(this.file, "utf8"));
      this.#print(report, ceilings.computeBound(report, { patienceS }));
    } catch (err) {
      const text = err instanceof Error ? err.message : String(err);
      this.context.stderr.write(`${this.file}: ${text}\n`);
      return Promise.resolve(EXIT_BAD_INPUT);
    }
    return Promise.resolve(0);
  }

  #print(report: ceilings.DayReport, bound: ceilings.Bound): void {
    const { stdout } = this.context;
    if (this.json) {
      stdout.write(`${JSON.stringify({ earned: report.worth, bound })}\n`);
      return;
    }
    const share = (bound.lostShare * 100).toFixed(1);
    stdout.write(
      `earned ${report.worth.toFixed(3)}, at most ${bound.worth.toFixed(3)}; ` +
        `${share}% of the requests could not be served by any policy\n`,
    );
    for (const { name, earned } of report.parts) {
      const limit = bound.parts[name].toFixed(3);
      stdout.write(`  ${name}: ${earned.toFixed(3)} of at most ${limit}\n`);
    }
  }
}

const cli = new Clipanion.Cli({
  binaryName: "ceiling",
  binaryVersion: "0.1.0",
});
cli.register(CeilingCommand);
cli.register(Clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
