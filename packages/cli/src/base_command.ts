/** Shared parts of all commands: addresses, JSON output and exit codes. */
import * as HttpJson from "@cairngate/http-json";
import * as Clipanion from "clipanion";
import * as Consola from "consola";
import * as Effect from "effect/Effect";
import process from "node:process";
import * as exitCodes from "./exit_codes.ts";

const DEFAULT_OPERATORS_ADDRESS = "127.0.0.1:7102";
const DEFAULT_CALLERS_ADDRESS = "127.0.0.1:7101";
const CONNECTIONS = 1;
const STATUS_CONFLICT = 409;

/** Problem details as sent by a box. */
interface ProblemBody {
  readonly title?: string;
  readonly detail?: string;
  readonly outcome?: string | null;
}

/** Base class of all commands. */
export abstract class BaseCommand extends Clipanion.Command {
  box = Clipanion.Option.String("--box", {
    description: "Operators' address of a box, host:port " +
      "(or CAIRNGATE_OPERATORS)",
  });
  callers = Clipanion.Option.String("--callers", {
    description: "Callers' address of a box, host:port (or CAIRNGATE_CALLERS)",
  });
  json = Clipanion.Option.Boolean("--json", false, {
    description: "Print one JSON object",
  });
  readonly #caller = new HttpJson.HttpCaller({ connections: CONNECTIONS });

  /** Prints a result as JSON with `--json`, otherwise as readable lines. */
  protected print(body: unknown, lines: () => readonly string[]): void {
    const text = this.json ? JSON.stringify(body) : lines().join("\n");
    this.context.stdout.write(`${text}\n`);
  }

  /** Calls the operators' API; prints an error and returns null without a response. */
  protected callBox(
    request: HttpJson.HttpCall,
  ): Promise<HttpJson.HttpResponse | null> {
    const address = this.box ?? process.env["CAIRNGATE_OPERATORS"] ??
      DEFAULT_OPERATORS_ADDRESS;
    return this.#call(address, request);
  }

  /** Calls the callers' API; prints an error and returns null without a response. */
  protected callCallersApi(
    request: HttpJson.HttpCall,
  ): Promise<HttpJson.HttpResponse | null> {
    const address = this.callers ?? process.env["CAIRNGATE_CALLERS"] ??
      DEFAULT_CALLERS_ADDRESS;
    return this.#call(address, request);
  }

  /** Prints the error of an unsuccessful response; returns the exit code. */
  protected fail(reply: HttpJson.HttpResponse | null): exitCodes.ExitCode {
    if (reply === null) return exitCodes.ExitCode.Unreachable;
    const problem = (reply.body ?? {}) as ProblemBody;
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify(reply.body)}\n`);
    }
    this.printError(problem.detail ?? `status ${reply.status}`);
    if (reply.status === STATUS_CONFLICT) return exitCodes.ExitCode.Conflict;
    if (problem.outcome === "unknown") return exitCodes.ExitCode.Unknown;
    const isInvalid = reply.status === 400 || reply.status === 422;
    return isInvalid ? exitCodes.ExitCode.Invalid : exitCodes.ExitCode.Refused;
  }

  /** Prints an error message to standard error. */
  protected printError(message: string): void {
    const log = Consola.createConsola({
      stdout: process.stderr,
      stderr: process.stderr,
    });
    log.error(message);
  }

  async #call(
    address: string,
    request: HttpJson.HttpCall,
  ): Promise<HttpJson.HttpResponse | null> {
    const result = await Effect.runPromise(
      Effect.result(this.#caller.call(address, request)),
    );
    if (result._tag === "Success") return result.success;
    this.printError(`${address} does not respond (${result.failure.cause}).`);
    return null;
  }
}
