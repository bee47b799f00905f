#!/usr/bin/env node
/** The executable `cairngated`. Exit codes: 0 stopped, 1 failed, 2 invalid settings. */
import * as Config from "@cairngate/config";
import * as Clipanion from "clipanion";
import * as Effect from "effect/Effect";
import * as fs from "node:fs/promises";
import process from "node:process";
import * as daemon from "./src/start_daemon.ts";

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;

class RunCommand extends Clipanion.Command {
  static override paths = [Clipanion.Command.Default];
  static override usage = Clipanion.Command.Usage({
    description: "Run one box of cairngate",
    examples: [
      ["Run a box", "cairngated --settings box-1.yaml"],
      [
        "Run with simulated workers",
        "cairngated --settings box-1.yaml --embedded deployment.yaml",
      ],
    ],
  });
  settings = Clipanion.Option.String("--settings", {
    required: true,
    description: "Settings file of the box (YAML)",
  });
  embedded = Clipanion.Option.String("--embedded", {
    description: "Operators' file whose workers are simulated",
  });

  override async execute(): Promise<number> {
    const settingsRead = Config.readSettingsFile(this.settings);
    const settings = await Effect.runPromise(Effect.result(settingsRead));
    if (settings._tag === "Failure") {
      this.context.stderr.write(`${settings.failure.message}\n`);
      return EXIT_BAD_SETTINGS;
    }
    const embeddedFile = this.embedded === undefined
      ? null
      : await fs.readFile(this.embedded, "utf8");
    const options = { settings: settings.success, embeddedFile };
    const started = await Effect.runPromise(
      Effect.result(daemon.startDaemon(options)),
    );
    if (started._tag === "Failure") {
      this.context.stderr.write(`${started.failure.message}\n`);
      return EXIT_FAILED;
    }
    await awaitSignal();
    await Effect.runPromise(started.success.stop());
    return 0;
  }
}

/** Settles at the first signal; later ones do not end the process at once. */
function awaitSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on("SIGTERM", () => resolve());
    process.on("SIGINT", () => resolve());
  });
}

const cli = new Clipanion.Cli({
  binaryName: "cairngated",
  binaryLabel: "cairngate daemon",
  binaryVersion: "0.1.0",
});
cli.register(RunCommand);
cli.register(Clipanion.Builtins.HelpCommand);
cli.register(Clipanion.Builtins.VersionCommand);
process.exit(await cli.run(process.argv.slice(2)));
