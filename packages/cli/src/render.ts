/** Renders results as text of at most 80 columns. */
import type * as Types from "@cairngate/types";

/** Response to `/v1/status`. */
export interface StatusBody {
  readonly version: number;
  readonly cells: readonly Types.CellStatus[];
  readonly unreachable: readonly string[];
}

const MAX_COLUMNS = 80;
const WORKERS_PER_LINE = 7;
const TIMESTAMP_CHARS = 19;

/** Renders the status of all cells. */
export function renderStatus(body: StatusBody): string[] {
  const lines = [`Configuration version ${body.version}`];
  for (const cell of body.cells) lines.push("", ...renderCell(cell));
  for (const cell of body.unreachable) {
    lines.push("", `Cell ${cell}: no owner responds`);
  }
  return lines.map(truncate);
}

/** Renders the explanation of one job. */
export function renderExplanation(job: Types.Explanation): string[] {
  if (job.history === undefined) {
    const { jobId, state } = job;
    const { reason } = job as unknown as { reason: string | null };
    return [`${jobId}: ${state}${reason ? ` because ${reason}` : ""}`];
  }
  const shape = `${job.gang} x ${job.accelerators} accelerator(s), ` +
    `adjacency ${job.adjacency}`;
  const lines = [
    `Job ${job.jobId}`,
    `  ${job.service} of team ${job.team}, tier ${job.tier}`,
    `  ${shape}`,
    `  ${job.state}${job.entitlement ? ` (${job.entitlement})` : ""}`,
  ];
  if (job.workers.length > 0) {
    lines.push(...wrap(`  on ${job.workers.join(", ")}`));
  }
  for (const reason of job.waitsFor) {
    lines.push(...wrap(`  waits: ${reason.detail} [${reason.kind}]`));
  }
  if (job.ahead.length > 0) {
    lines.push(...wrap(`  in front: ${job.ahead.join(", ")}`));
  }
  if (job.startsWhen) lines.push(...wrap(`  starts ${job.startsWhen}`));
  lines.push("  history:");
  for (const { atMs, kind, detail } of job.history) {
    lines.push(...wrap(`    ${formatTime(atMs)} ${kind}: ${detail}`));
  }
  return lines;
}

/** Renders the versions of the configuration. */
export function renderHistory(
  versions: readonly Omit<Types.ConfigVersion, "text">[],
): string[] {
  return versions.map(({ version, hash, appliedAtMs }) =>
    `${String(version).padStart(5)}  ${hash}  ${formatTime(appliedAtMs)}`
  );
}

/** Returns the lines that differ between two texts, by longest common subsequence. */
export function diffLines(before: string, after: string): string[] {
  const a = before.split("\n");
  const b = after.split("\n");
  const lengths = commonLengths(a, b);
  const lines: string[] = [];
  let i = 0;
  let j = 0;
  while (i < a.length || j < b.length) {
    if (i < a.length && j < b.length && a[i] === b[j]) {
      i++;
      j++;
    } else if (
      j >= b.length || (i < a.length && lengths[i + 1][j] >= lengths[i][j + 1])
    ) {
      lines.push(`- ${a[i++]}`);
    } else {
      lines.push(`+ ${b[j++]}`);
    }
  }
  return lines;
}

function commonLengths(a: string[], b: string[]): Int32Array[] {
  const lengths = Array.from(
    { length: a.length + 1 },
    () => new Int32Array(b.length + 1),
  );
  for (let i = a.length - 1; i >= 0; i--) {
    for (let j = b.length - 1; j >= 0; j--) {
      lengths[i][j] = a[i] === b[j]
        ? lengths[i + 1][j + 1] + 1
        : Math.max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

function renderCell(cell: Types.CellStatus): string[] {
  const holdover = cell.holdover ? ", holding over" : "";
  const lines = [
    `Cell ${cell.cell}: owner ${cell.owner}, epoch ${cell.epoch}${holdover}`,
    `  workers ${cell.sealedWorkers} of ${cell.workers}, ` +
    `running ${cell.running}, waiting ${cell.waiting}`,
    "  racks (. free, g guaranteed, o opportunistic, x unavailable)",
  ];
  for (const rack of cell.racks) lines.push(...renderRack(rack));
  const parts = cell.fragmentation.map(({ block, value }) =>
    `${block}: ${value.toFixed(2)}`
  );
  lines.push(`  fragmentation by block  ${parts.join("  ")}`);
  lines.push(
    "  team             tier      guaranteed  used  reclaimable  waiting",
  );
  for (const team of cell.teams) lines.push(renderTeam(team));
  return lines;
}

function renderRack(rack: Types.RackStatus): string[] {
  const lines: string[] = [];
  for (let i = 0; i < rack.workers.length; i += WORKERS_PER_LINE) {
    const name = i === 0 ? rack.name : "";
    const row = rack.workers.slice(i, i + WORKERS_PER_LINE).join(" ");
    lines.push(`  ${name.padEnd(12)} ${row}`);
  }
  return lines;
}

function renderTeam(team: Types.TeamStatus): string {
  const shortage = team.shortfall > 0 ? `  SHORT BY ${team.shortfall}` : "";
  return "  " + team.team.padEnd(17) + team.tier.padEnd(10) +
    String(team.guaranteed).padStart(10) + String(team.used).padStart(6) +
    String(team.reclaimable).padStart(13) + String(team.waiting).padStart(9) +
    shortage;
}

function formatTime(ms: number): string {
  return new Date(ms).toISOString().slice(0, TIMESTAMP_CHARS).replace("T", " ");
}

function truncate(line: string): string {
  return line.length <= MAX_COLUMNS
    ? line
    : `${line.slice(0, MAX_COLUMNS - 1)}…`;
}

function wrap(line: string): string[] {
  const indent = /^ */.exec(line)![0] + "  ";
  const lines: string[] = [];
  let rest = line;
  while (rest.length > MAX_COLUMNS) {
    const space = rest.lastIndexOf(" ", MAX_COLUMNS);
    const cut = space > indent.length ? space : MAX_COLUMNS;
    lines.push(rest.slice(0, cut));
    rest = indent + rest.slice(cut).trimStart();
  }
  return [...lines, rest];
}
