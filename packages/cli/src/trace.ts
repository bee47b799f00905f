/** Merges log lines of several boxes about one job or task. */
import type * as logLines from "./log_line.ts";
import * as parsing from "./log_line.ts";

/** Log lines that mention an id, and counts of omitted lines. */
export interface Trace {
  readonly id: string;
  /** Sorted by time; lines with equal times stay in the order they were read. */
  readonly lines: readonly logLines.LogLine[];
  /** Number of lines that mention the id but exceed the limit. */
  readonly leftOut: number;
  /** Number of lines that are not log lines, by file. */
  readonly broken: Readonly<Record<string, number>>;
}

/** A log as a stream of lines. */
export interface LogSource {
  readonly name: string;
  readonly lines: AsyncIterable<string>;
}

/**
 * Maximum number of lines in a trace, so that its memory does not grow with the logs:
 * 3 MB at 300 bytes per line.
 */
const MAX_LINES = 10_000;

/** Reads logs one after another and merges the lines that mention an id. */
export async function readTrace(
  id: string,
  sources: readonly LogSource[],
  maxLines = MAX_LINES,
): Promise<Trace> {
  const matches: logLines.LogLine[] = [];
  const broken: Record<string, number> = {};
  let leftOut = 0;
  for (const { name, lines: texts } of sources) {
    for await (const text of texts) {
      if (text.trim() === "") continue;
      const line = parsing.parseLogLine(text, name);
      if (line === null) broken[name] = (broken[name] ?? 0) + 1;
      else if (!mentionsId(line.message, id)) continue;
      else if (matches.length < maxLines) matches.push(line);
      else leftOut++;
    }
  }
  matches.sort((a, b) => Date.parse(a.at) - Date.parse(b.at));
  return { id, lines: matches, leftOut, broken };
}

/** Whether a message mentions the id or one of its tasks. */
function mentionsId(message: string, id: string): boolean {
  for (let at = message.indexOf(id); at >= 0;) {
    const before = message[at - 1] ?? " ";
    const after = message[at + id.length] ?? " ";
    if (!/\w/.test(before) && !/\w/.test(after)) return true;
    at = message.indexOf(id, at + 1);
  }
  return false;
}

/** Renders a trace: time since the first line, box, part and message. */
export function renderTrace(trace: Trace): string[] {
  const { id, lines: entries } = trace;
  if (entries.length === 0) return [`No log line mentions ${id}.`];
  const firstMs = Date.parse(entries[0].at);
  const width = Math.max(...entries.map(({ box }) => box.length));
  const rows = entries.map(({ at, box, part, message }) => {
    const sinceMs = Date.parse(at) - firstMs;
    const time = `+${(sinceMs / 1000).toFixed(3)}`.padStart(10);
    return `${time}  ${box.padEnd(width)}  [${part}] ${message}`;
  });
  return [`${id} from ${entries[0].at} on, in seconds:`, ...rows];
}

/** Returns warnings about lines that are missing from a trace. */
export function renderWarnings({ leftOut, broken }: Trace): string[] {
  const warnings = Object.entries(broken).map(([name, count]) =>
    `${name}: ${count} lines are not log lines and were skipped.`
  );
  if (leftOut > 0) {
    warnings.push(
      `${leftOut} more lines were left out; trace a single task to see them.`,
    );
  }
  return warnings;
}
