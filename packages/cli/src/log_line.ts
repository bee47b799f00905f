/** Parses log lines of boxes, in text or JSON format. */

/** A parsed log line. */
export interface LogLine {
  /** Wall-clock time of the box, in ISO 8601. */
  readonly at: string;
  /** The box that wrote the line; the file's name if the line does not contain it. */
  readonly box: string;
  readonly level: string;
  readonly part: string;
  readonly message: string;
}

/** Text format: time, level, part in brackets, message. */
const TEXT_LINE = /^(\d{4}-\d\d-\d\dT[\d:.]+Z) +(\w+) +\[([^\]]*)\] (.*)$/;

/** Parses a line; null if it is not a log line. */
export function parseLogLine(text: string, file: string): LogLine | null {
  return text.startsWith("{")
    ? parseJsonLine(text, file)
    : parseTextLine(text, file);
}

function parseTextLine(text: string, file: string): LogLine | null {
  const match = TEXT_LINE.exec(text);
  if (match === null) return null;
  const [, at, level, part, message] = match;
  return { at, box: file, level, part, message };
}

function parseJsonLine(text: string, file: string): LogLine | null {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    // The caller counts lines that are not log lines.
    return null;
  }
  const { at, box, level, part, message } = value as Partial<LogLine>;
  if (typeof at !== "string" || typeof message !== "string") return null;
  return {
    at,
    box: typeof box === "string" ? box : file,
    level: typeof level === "string" ? level : "",
    part: typeof part === "string" ? part : "",
    message,
  };
}
