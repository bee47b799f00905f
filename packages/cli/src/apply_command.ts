/** `cairngate apply FILE`: applies an operators' file. */
import * as Config from "@cairngate/config";
import type * as Types from "@cairngate/types";
import * as Clipanion from "clipanion";
import * as Effect from "effect/Effect";
import * as crypto from "node:crypto";
import * as fs from "node:fs/promises";
import * as base from "./base_command.ts";
import * as exitCodes from "./exit_codes.ts";

interface ApplyResult {
  readonly version: number;
  readonly hash: string;
  readonly changed: boolean;
}

/** Replaces the configuration in force by an operators' file. */
export class ApplyCommand extends base.BaseCommand {
  static override paths = [["apply"]];
  static override usage = Clipanion.Command.Usage({
    description: "Apply an operators' file",
    details: "The file replaces the one in force. It is refused if " +
      "another version has come into force since the one it is based on.",
    examples: [
      ["Apply against the version in force", "cairngate apply polni.yaml"],
      ["Apply against version 7", "cairngate apply polni.yaml --based-on 7"],
    ],
  });
  file = Clipanion.Option.String();
  basedOn = Clipanion.Option.String("--based-on", {
    description:
      "Version that the file is based on (default: the one in force)",
  });

  override async execute(): Promise<number> {
    const text = await this.#readFile();
    if (text === null) return exitCodes.ExitCode.Invalid;
    const basedOn = await this.#resolveBaseVersion();
    if (basedOn === null) return exitCodes.ExitCode.Unreachable;
    const body = { text, basedOn, applyId: crypto.randomUUID() };
    const reply = await this.callBox({
      method: "POST",
      path: "/v1/config",
      body,
    });
    if (reply === null) return exitCodes.ExitCode.Unknown;
    if (reply.status !== 200) return this.fail(reply);
    const applied = reply.body as ApplyResult;
    this.print(applied, () => [formatResult(applied)]);
    return exitCodes.ExitCode.Ok;
  }

  async #readFile(): Promise<string | null> {
    let text: string;
    try {
      text = await fs.readFile(this.file, "utf8");
    } catch (err) {
      this.printError(`${this.file} cannot be read (${String(err)}).`);
      return null;
    }
    const parsed = await Effect.runPromise(
      Effect.result(Config.parseDeployment(text, this.file)),
    );
    if (parsed._tag === "Success") return text;
    this.printError(parsed.failure.message);
    return null;
  }

  async #resolveBaseVersion(): Promise<number | null> {
    if (this.basedOn !== undefined) return Number(this.basedOn);
    const reply = await this.callBox({ method: "GET", path: "/v1/config" });
    if (reply === null || reply.status !== 200) return null;
    return (reply.body as Types.ConfigVersion | null)?.version ?? 0;
  }
}

function formatResult(applied: ApplyResult): string {
  const { version, hash, changed } = applied;
  return changed
    ? `Version ${version} (${hash}) is in force.`
    : `Nothing changed: version ${version} (${hash}) is already in force.`;
}
