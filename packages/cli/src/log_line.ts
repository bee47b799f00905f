/** Lines of boxes' logs, in either format that a box writes. */

/** One line of a log. */
export interface LogLine {
  /** Wall-clock time as the box wrote it, ISO 8601. */
  readonly at: string;
  /** The box that wrote it; the file's name where lines do not tell. */
  readonly box: string;
  readonly level: string;
  readonly part: string;
  readonly message: string;
}

/** A line of text: time, level, part in brackets, sentence. */
const TEXT_LINE = /^(\d{4}-\d\d-\d\dT[\d:.]+Z) +(\w+) +\[([^\]]*)\] (.*)$/;

/** Reads a line; null where it is none of a log. */
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
    // The caller counts lines that are none.
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
