/** `npm run drill`. Exits with 1 if a count of a forbidden event is not 0. */
import * as Clipanion from "clipanion";
import process from "node:process";
import * as comparison from "./src/compare_direct.ts";
import type * as reports from "./src/drill_report.ts";
import * as drill from "./src/run_drill.ts";

class DrillCommand extends Clipanion.Command {
  static override paths = [Clipanion.Command.Default];
  static override usage = Clipanion.Command.Usage({
    description: "Run real processes under faults and count forbidden events",
    examples: [["Two minutes", "npm run drill -- --seed 7 --minutes 2"]],
  });
  seed = Clipanion.Option.String("--seed", "1");
  seeds = Clipanion.Option.String("--seeds", "1", {
    description: "Number of seeds to run, one after another",
  });
  boxes = Clipanion.Option.String("--boxes", "9");
  port = Clipanion.Option.String("--port", String(drill.DEFAULT_PORT), {
    description: "First port; parallel drills need first ports 500 apart",
  });
  workers = Clipanion.Option.String("--workers", String(drill.DEFAULT_WORKERS));
  minutes = Clipanion.Option.String("--minutes", "1");
  logs = Clipanion.Option.String("--logs", {
    description: "Folder for the logs of the processes",
  });
  compare = Clipanion.Option.Boolean("--compare", false, {
    description: "Compare with direct calls to workers instead",
  });
  json = Clipanion.Option.Boolean("--json", false);

  override async execute(): Promise<number> {
    const boxes = Number(this.boxes);
    if (this.compare) {
      const found = await comparison.compareWithDirectCalls({
        boxes,
        jobs: 1000,
        callers: 50,
      });
      this.context.stdout.write(`${JSON.stringify(found, null, 2)}\n`);
      return found.ownAnswers === found.jobs && found.doubled === 0 ? 0 : 1;
    }
    let isClean = true;
    for (let i = 0; i < Number(this.seeds); i++) {
      const report = await drill.runDrill({
        seed: Number(this.seed) + i,
        boxes,
        minutes: Number(this.minutes),
        workers: Number(this.workers),
        port: Number(this.port),
        logFolder: this.logs ?? null,
      });
      this.#print(report);
      isClean &&= Object.values(report.forbidden).every((n) => n === 0);
    }
    return isClean ? 0 : 1;
  }

  #print(report: reports.DrillReport): void {
    const space = this.json ? undefined : 2;
    this.context.stdout.write(`${JSON.stringify(report, null, space)}\n`);
  }
}

const cli = new Clipanion.Cli({
  binaryName: "drill",
  binaryVersion: "0.1.0",
});
cli.register(DrillCommand);
cli.register(Clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
