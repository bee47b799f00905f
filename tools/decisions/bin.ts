/** Simulates loads and prints scores: `npm run decisions`. */
import * as Clipanion from "clipanion";
import process from "node:process";
import * as decisions from "./mod.ts";

/** Exit code for an invalid argument, as in `cairngate`. */
const EXIT_BAD_INPUT = 2;

class DecisionsCommand extends Clipanion.Command {
  static override paths = [Clipanion.Command.Default];
  static override usage = Clipanion.Command.Usage({
    description: "Simulate loads against the planner and print scores",
    examples: [[
      "Simulate two loads",
      "npm run decisions -- even small --seeds 6",
    ]],
  });
  seeds = Clipanion.Option.String("--seeds", "4", {
    description: "Number of seeds for each load, starting at 1",
  });
  names = Clipanion.Option.Rest();

  override execute(): Promise<number> {
    const seeds = Number(this.seeds);
    const names = this.names.length > 0
      ? this.names
      : [...decisions.LOADS.keys()];
    const unknown = names.find((name) => !decisions.LOADS.has(name));
    if (unknown !== undefined || !Number.isInteger(seeds) || seeds < 1) {
      const loadNames = [...decisions.LOADS.keys()].join(", ");
      this.context.stderr.write(
        `Expected names of loads (${loadNames}) and --seeds of at least 1.\n`,
      );
      return Promise.resolve(EXIT_BAD_INPUT);
    }
    for (const name of names) this.#simulate(name, seeds);
    return Promise.resolve(0);
  }

  /** Prints one line of JSON for each simulation. */
  #simulate(name: string, seeds: number): void {
    const load = decisions.LOADS.get(name);
    if (load === undefined) return;
    for (let seed = 1; seed <= seeds; seed++) {
      const scores = decisions.scoreSimulation(decisions.simulate(load, seed));
      const line = JSON.stringify(
        { load: name, seed, ...scores },
        (_, value) =>
          typeof value === "number" ? Math.round(value * 1e4) / 1e4 : value,
      );
      this.context.stdout.write(`${line}\n`);
    }
  }
}

const cli = new Clipanion.Cli({
  binaryName: "decisions",
  binaryVersion: "0.1.0",
});
cli.register(DecisionsCommand);
cli.register(Clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
