/** The command line of `cairngate`. */
import * as Clipanion from "clipanion";
import * as apply from "./apply_command.ts";
import * as config from "./config_commands.ts";
import * as doctor from "./doctor_command.ts";
import * as node from "./node_command.ts";
import * as read from "./read_commands.ts";
import * as submit from "./submit_command.ts";
import * as trace from "./trace_command.ts";

/** Runs the command given by the arguments; returns the exit code. */
export function runCli(args: readonly string[]): Promise<number> {
  const cli = new Clipanion.Cli({
    binaryName: "cairngate",
    binaryLabel: "cairngate",
    binaryVersion: "0.1.0",
  });
  cli.register(apply.ApplyCommand);
  cli.register(submit.SubmitCommand);
  cli.register(read.StatusCommand);
  cli.register(read.ExplainCommand);
  cli.register(read.DumpCommand);
  cli.register(config.HistoryCommand);
  cli.register(config.DiffCommand);
  cli.register(doctor.DoctorCommand);
  cli.register(node.NodeCommand);
  cli.register(trace.TraceCommand);
  cli.register(Clipanion.Builtins.HelpCommand);
  cli.register(Clipanion.Builtins.VersionCommand);
  return cli.run([...args]);
}
