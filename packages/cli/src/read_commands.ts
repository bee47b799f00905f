/** Commands that only read: status, explain and dump. */
import type * as Types from "@cairngate/types";
import * as Clipanion from "clipanion";
import * as base from "./base_command.ts";
import * as exitCodes from "./exit_codes.ts";
import * as rendering from "./render.ts";

/** `cairngate status`: shows the state of all cells. */
export class StatusCommand extends base.BaseCommand {
  static override paths = [["status"]];
  static override usage = Clipanion.Command.Usage({
    description: "Show cells, owners, racks and teams",
    examples: [["Show everything", "cairngate status"]],
  });

  override async execute(): Promise<number> {
    const reply = await this.callBox({ method: "GET", path: "/v1/status" });
    if (reply?.status !== 200) return this.fail(reply);
    const body = reply.body as rendering.StatusBody;
    this.print(body, () => rendering.renderStatus(body));
    return exitCodes.ExitCode.Ok;
  }
}

/** `cairngate explain JOB`: explains the state of a job. */
export class ExplainCommand extends base.BaseCommand {
  static override paths = [["explain"]];
  static override usage = Clipanion.Command.Usage({
    description: "Explain why a job runs, waits or yields",
    examples: [["Explain a job", "cairngate explain moravia.1f6c"]],
  });
  jobId = Clipanion.Option.String();

  override async execute(): Promise<number> {
    const path = `/v1/jobs/${encodeURIComponent(this.jobId)}/explain`;
    const reply = await this.callBox({ method: "GET", path });
    if (reply?.status !== 200) return this.fail(reply);
    const body = reply.body as Types.Explanation;
    this.print(body, () => rendering.renderExplanation(body));
    return exitCodes.ExitCode.Ok;
  }
}

/** `cairngate dump`: prints the internal state of a box. */
export class DumpCommand extends base.BaseCommand {
  static override paths = [["dump"]];
  static override usage = Clipanion.Command.Usage({
    description: "Print the complete state of a box as JSON",
    examples: [["Dump one box", "cairngate dump --box 10.0.0.4:7102"]],
  });

  override async execute(): Promise<number> {
    const reply = await this.callBox({ method: "GET", path: "/debug/dump" });
    if (reply?.status !== 200) return this.fail(reply);
    this.print(reply.body, () => [JSON.stringify(reply.body, null, 2)]);
    return exitCodes.ExitCode.Ok;
  }
}
