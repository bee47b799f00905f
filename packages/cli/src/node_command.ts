/** `cairngate node`: the state of a box that runs workflows. */
import * as Clipanion from "clipanion";
import * as base from "./base_command.ts";
import * as exitCodes from "./exit_codes.ts";
import * as render from "./render_node.ts";

const STATE_PATH = "/state";

/** Shows the state of a box; the coordinator's includes workflows and endpoints. */
export class NodeCommand extends base.BaseCommand {
  static override paths = [["node"]];
  static override usage = Clipanion.Command.Usage({
    description: "Show the state of a box and why its workflows wait",
    examples: [["Show one box", "cairngate node --box 127.0.0.1:8523"]],
  });

  override async execute(): Promise<number> {
    const reply = await this.callBox({ method: "GET", path: STATE_PATH });
    if (reply === null || reply.status !== 200) return this.fail(reply);
    const state = reply.body as render.NodeState;
    this.print(state, () => render.describeNode(state));
    return exitCodes.ExitCode.Ok;
  }
}
