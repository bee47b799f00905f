#!/usr/bin/env node
/** `cairngate-stand-ins`: serves the platform and workers of one deployment file. */
import * as Config from "@cairngate/config";
import * as Clipanion from "clipanion";
import * as Effect from "effect/Effect";
import * as fs from "node:fs/promises";
import process from "node:process";
import * as server from "./src/serve_stand_ins.ts";

class ServeCommand extends Clipanion.Command {
  static override paths = [Clipanion.Command.Default];
  static override usage = Clipanion.Command.Usage({
    description: "Serve stand-ins for the platform and its workers",
  });
  file = Clipanion.Option.String("--deployment", { required: true });
  platform = Clipanion.Option.String("--platform", { required: true });

  override async execute(): Promise<number> {
    const text = await fs.readFile(this.file, "utf8");
    const cfg = await Effect.runPromise(
      Config.parseDeployment(text, this.file),
    );
    await Effect.runPromise(server.serveStandIns(cfg, this.platform));
    this.context.stdout.write(`ready on ${this.platform}\n`);
    return await new Promise<number>((resolve) => {
      process.once("SIGTERM", () => resolve(0));
      process.once("SIGINT", () => resolve(0));
    });
  }
}

const cli = new Clipanion.Cli({
  binaryName: "cairngate-stand-ins",
  binaryVersion: "0.1.0",
});
cli.register(ServeCommand);
cli.register(Clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
