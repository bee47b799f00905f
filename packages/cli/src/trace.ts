/** The story of one job or task, from the logs of several boxes. */
import type * as logLines from "./log_line.ts";
import * as parsing from "./log_line.ts";

/** What was found of one id. */
export interface Trace {
  readonly id: string;
  /** By time; of equal times as they were read. */
  readonly lines: readonly logLines.LogLine[];
  /** Lines that name the id and are left out because there are too many. */
  readonly leftOut: number;
  /** Lines that are none of a log, by file. */
  readonly broken: Readonly<Record<string, number>>;
}

/** A log, line by line. */
export interface LogSource {
  readonly name: string;
  readonly lines: AsyncIterable<string>;
}

/**
 * Lines that are kept: the memory of a trace does not grow with the logs. At 300
 * bytes a line it is 3 MB.
 */
const MAX_LINES = 10_000;

/** Reads logs one after another and merges what they tell of an id. */
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

/** Whether a sentence names the id, or one of its tasks. */
function mentionsId(message: string, id: string): boolean {
  for (let at = message.indexOf(id); at >= 0;) {
    const before = message[at - 1] ?? " ";
    const after = message[at + id.length] ?? " ";
    if (!/\w/.test(before) && !/\w/.test(after)) return true;
    at = message.indexOf(id, at + 1);
  }
  return false;
}

/** The story for people: time since the first line, box, part, sentence. */
export function renderTrace(trace: Trace): string[] {
  const { id, lines: entries } = trace;
  if (entries.length === 0) return [`No line names ${id}.`];
  const firstMs = Date.parse(entries[0].at);
  const width = Math.max(...entries.map(({ box }) => box.length));
  const rows = entries.map(({ at, box, part, message }) => {
    const sinceMs = Date.parse(at) - firstMs;
    const time = `+${(sinceMs / 1000).toFixed(3)}`.padStart(10);
    return `${time}  ${box.padEnd(width)}  [${part}] ${message}`;
  });
  return [`${id} from ${entries[0].at} on, in seconds:`, ...rows];
}

/** What a reader has to know about the story's gaps. */
export function renderWarnings({ leftOut, broken }: Trace): string[] {
  const warnings = Object.entries(broken).map(([name, count]) =>
    `${name}: ${count} lines are no lines of a log and were passed over.`
  );
  if (leftOut > 0) {
    warnings.push(
      `${leftOut} more lines were left out; name a task to see them.`,
    );
  }
  return warnings;
}
