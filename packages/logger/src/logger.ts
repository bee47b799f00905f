/** Logging through consola, as text or as one JSON object per line. */
import process from "node:process";
import * as Consola from "consola";

/** Lowest severity that is printed. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Format of log lines. */
export type LogFormat = "text" | "json";

/** Logger of one part of a process; messages are full sentences. */
export abstract class Logger {
  abstract error(sentence: string): void;
  abstract warn(sentence: string): void;
  abstract info(sentence: string): void;
  abstract debug(sentence: string): void;
  /** Creates a logger for another part of the same process. */
  abstract child(prefix: string): Logger;
}

class ConsolaLogger extends Logger {
  readonly #consola: Consola.ConsolaInstance;

  constructor(consola: Consola.ConsolaInstance) {
    super();
    this.#consola = consola;
  }

  override error(sentence: string): void {
    this.#consola.error(sentence);
  }

  override warn(sentence: string): void {
    this.#consola.warn(sentence);
  }

  override info(sentence: string): void {
    this.#consola.info(sentence);
  }

  override debug(sentence: string): void {
    this.#consola.debug(sentence);
  }

  override child(prefix: string): Logger {
    return new ConsolaLogger(this.#consola.withTag(prefix));
  }
}

const LEVELS: Readonly<Record<LogLevel, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Creates the logger of a process, which writes to standard error. */
export function createLogger(
  options: { level: LogLevel; format: LogFormat; box: string },
): Logger {
  const consola = Consola.createConsola({
    level: LEVELS[options.level],
    stdout: process.stderr,
    stderr: process.stderr,
    reporters: [createReporter(options.format, options.box)],
  });
  return new ConsolaLogger(consola);
}

/** Creates a logger that prints nothing. */
export function silentLogger(): Logger {
  return new ConsolaLogger(
    Consola.createConsola({ level: -999, reporters: [] }),
  );
}

function createReporter(
  format: LogFormat,
  box: string,
): Consola.ConsolaReporter {
  return {
    log(entry) {
      const message = entry.args.map(String).join(" ");
      const at = entry.date.toISOString();
      const line = format === "json"
        ? JSON.stringify({
          at,
          box,
          level: entry.type,
          part: entry.tag,
          message,
        })
        : `${at} ${entry.type.padEnd(5)} [${entry.tag}] ${message}`;
      process.stderr.write(line + "\n");
    },
  };
}
