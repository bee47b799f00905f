/** `cairngate doctor`: checks a settings file and the state of its box. */
import * as Config from "@cairngate/config";
import * as Clipanion from "clipanion";
import * as Effect from "effect/Effect";
import * as base from "./base_command.ts";
import * as exitCodes from "./exit_codes.ts";

interface Check {
  readonly what: string;
  readonly ok: boolean;
  readonly detail: string;
}

/** Checks the settings, liveness and readiness of one box, and its cells' owners. */
export class DoctorCommand extends base.BaseCommand {
  static override paths = [["doctor"]];
  static override usage = Clipanion.Command.Usage({
    description: "Check a settings file and whether its box responds",
    examples: [["Check a box", "cairngate doctor --settings box-1.yaml"]],
  });
  settings = Clipanion.Option.String("--settings", { required: true });

  override async execute(): Promise<number> {
    const read = Config.readSettingsFile(this.settings);
    const parsed = await Effect.runPromise(Effect.result(read));
    if (parsed._tag === "Failure") {
      this.printError(parsed.failure.message);
      return exitCodes.ExitCode.Invalid;
    }
    this.box ??= parsed.success.operatorsAddress;
    const checks = [
      { what: "settings", ok: true, detail: "valid" },
      await this.#check("box answers", "/healthz"),
      await this.#check("box is ready", "/readyz"),
      await this.#check("cells have owners", "/v1/status"),
    ];
    this.print(checks, () => checks.map(formatCheck));
    const isHealthy = checks.every((check) => check.ok);
    return isHealthy ? exitCodes.ExitCode.Ok : exitCodes.ExitCode.Refused;
  }

  async #check(what: string, path: string): Promise<Check> {
    const reply = await this.callBox({ method: "GET", path });
    if (reply === null) return { what, ok: false, detail: "no answer" };
    const unreachable = (reply.body as { unreachable?: string[] }).unreachable;
    if (unreachable !== undefined && unreachable.length > 0) {
      return { what, ok: false, detail: `none for ${unreachable.join(", ")}` };
    }
    return { what, ok: reply.status === 200, detail: `status ${reply.status}` };
  }
}

function formatCheck(check: Check): string {
  return `${check.ok ? "ok  " : "FAIL"} ${check.what}: ${check.detail}`;
}
