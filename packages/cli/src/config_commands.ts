/** `cairngate config history` and `cairngate config diff`. */
import type * as Types from "@cairngate/types";
import * as Clipanion from "clipanion";
import * as base from "./base_command.ts";
import * as exitCodes from "./exit_codes.ts";
import * as rendering from "./render.ts";

/** `cairngate config history`: lists the versions of the configuration. */
export class HistoryCommand extends base.BaseCommand {
  static override paths = [["config", "history"]];
  static override usage = Clipanion.Command.Usage({
    description: "List the versions of the operators' file",
    examples: [["List all", "cairngate config history"]],
  });

  override async execute(): Promise<number> {
    const path = "/v1/config/history";
    const reply = await this.callBox({ method: "GET", path });
    if (reply?.status !== 200) return this.fail(reply);
    const versions = reply.body as Types.ConfigVersion[];
    this.print(versions, () => rendering.renderHistory(versions));
    return exitCodes.ExitCode.Ok;
  }
}

/** `cairngate config diff`: shows the differences between two versions. */
export class DiffCommand extends base.BaseCommand {
  static override paths = [["config", "diff"]];
  static override usage = Clipanion.Command.Usage({
    description: "Show what changed between two versions",
    examples: [["From version 3 to 5", "cairngate config diff 3 5"]],
  });
  from = Clipanion.Option.String();
  to = Clipanion.Option.String();

  override async execute(): Promise<number> {
    const before = await this.#read(this.from);
    const after = await this.#read(this.to);
    if (before === null || after === null) return exitCodes.ExitCode.Refused;
    const lines = rendering.diffLines(before.text, after.text);
    const body = { from: before.version, to: after.version, lines };
    this.print(body, () => lines);
    return exitCodes.ExitCode.Ok;
  }

  async #read(version: string): Promise<Types.ConfigVersion | null> {
    const path = `/v1/config/versions/${encodeURIComponent(version)}`;
    const reply = await this.callBox({ method: "GET", path });
    if (reply?.status === 200) return reply.body as Types.ConfigVersion;
    this.fail(reply);
    return null;
  }
}
