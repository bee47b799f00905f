/**
 * The configuration in force on this box. Versions are rows of the table
 * service, written by compare-and-set. A box never returns to an older version.
 */
import * as Config from "@cairngate/config";
import * as Errors from "@cairngate/errors";
import type * as Cell from "@cairngate/cell";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Scheduler from "@cairngate/scheduler";
import * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";

/** Settings and services of the keeper. */
export interface ConfigManagerOptions {
  readonly deployment: string;
  readonly clock: Ports.Clock;
  readonly store: TableClient.StoreClient;
  readonly metrics: Metrics.Metrics;
  readonly log: Logger.Logger;
  /** Called when a newer version has come into force. */
  readonly onChange: () => void;
}

/** A configuration file to apply. */
export interface ApplyRequest {
  readonly text: string;
  /** The version on which the file is based; 0 for the first file. */
  readonly basedOn: number;
  /** Idempotency key of the request, chosen by the operator's tool. */
  readonly applyId: string;
}

/** A version of the history, without its text. */
export type VersionSummary = Omit<Types.ConfigVersion, "text">;

/** Value of the row that names the version in force. */
interface CurrentRow {
  readonly version: number;
  readonly hash: string;
  readonly applyId: string;
}

const APPLY_TIMEOUT_MS = 5000;

/** Follows the configuration in force and applies new ones. */
export class ConfigManager {
  readonly #options: ConfigManagerOptions;
  #version: Types.ConfigVersion | null = null;
  #cfg: Types.DeploymentConfig | null = null;

  constructor(options: ConfigManagerOptions) {
    this.#options = options;
  }

  /** The parsed configuration in force; null before the first one is loaded. */
  get inForce(): Cell.ConfigInForce | null {
    if (this.#version === null || this.#cfg === null) return null;
    return { version: this.#version.version, cfg: this.#cfg };
  }

  /** The version in force with its text; null before the first one is loaded. */
  get current(): Types.ConfigVersion | null {
    return this.#version;
  }

  /** Polls the version row until interrupted; failed polls are repeated later. */
  keepPolling(intervalMs: number): Effect.Effect<never> {
    return this.#options.clock.every(intervalMs, Effect.ignore(this.poll()));
  }

  /** Reads the version row once and adopts its version if that is newer. */
  poll(): Effect.Effect<void, Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const { store, deployment } = this.#options;
      const [row] = yield* store.read([
        TableClient.Keys.configKey(deployment),
      ]);
      const current = row?.value as CurrentRow | undefined;
      if (current === undefined) return;
      if (current.version <= (this.#version?.version ?? 0)) return;
      const found = yield* this.read(current.version);
      if (found !== null) yield* this.adopt(found);
    });
  }

  /** Reads one version of the history; null if there is none. */
  read(
    version: number,
  ): Effect.Effect<Types.ConfigVersion | null, Errors.StoreUnavailableError> {
    const { store, deployment } = this.#options;
    const key = TableClient.Keys.configVersionKey(deployment, version);
    return Effect.map(
      store.read([key]),
      (rows) => (rows[0]?.value as Types.ConfigVersion | undefined) ?? null,
    );
  }

  /** Lists all versions, oldest first. */
  history(): Effect.Effect<VersionSummary[], Errors.StoreUnavailableError> {
    const { store, deployment } = this.#options;
    const prefix = TableClient.Keys.configHistoryPrefix(deployment);
    return Effect.map(store.scan(prefix), (rows) => {
      const versions = rows.map((row) => row.value as Types.ConfigVersion);
      versions.sort((a, b) => a.version - b.version);
      return versions.map(({ text: _, ...summary }) => summary);
    });
  }

  /** Puts a version into force on this box, unless it has the same or a newer one. */
  adopt(found: Types.ConfigVersion): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const parsed = yield* Effect.result(Config.parseDeployment(found.text));
      const { log, metrics, clock } = this.#options;
      if (parsed._tag === "Failure") {
        log.error(`Version ${found.version} can't be parsed by this release.`);
        return;
      }
      // Checked after parsing, as another fiber may have adopted it meanwhile.
      if (found.version <= (this.#version?.version ?? 0)) return;
      // The first version after a start may be old and would distort the metric.
      if (this.#version !== null) {
        const ageMs = Math.max(0, clock.wallMs() - found.appliedAtMs);
        metrics.observeMs("cairngate_config_propagation_seconds", ageMs);
      }
      this.#version = found;
      this.#cfg = parsed.success;
      metrics.set("cairngate_config_version", found.version);
      log.info(`Version ${found.version} (${found.hash}) is in force.`);
      this.#options.onChange();
    });
  }

  /**
   * Applies a whole file, on condition that the version in force is the one it
   * is based on. Applying the same file or `applyId` again changes nothing.
   */
  apply(req: ApplyRequest) {
    return Effect.gen({ self: this }, function* () {
      const cfg = yield* Config.parseDeployment(req.text);
      yield* this.#check(cfg);
      const { store, deployment } = this.#options;
      const key = TableClient.Keys.configKey(deployment);
      const [row] = yield* store.read([key]);
      const current = row?.value as CurrentRow | undefined;
      const hash = Config.hashText(req.text);
      const isSame = current?.applyId === req.applyId || current?.hash === hash;
      if (current !== undefined && isSame) {
        yield* this.poll();
        return { ...current, changed: false };
      }
      if ((current?.version ?? 0) !== req.basedOn) {
        return yield* conflict(req.basedOn, current);
      }
      const next = this.#nextVersion(req, hash);
      yield* this.#write(next, row?.revision ?? 0, req);
      yield* this.adopt(next);
      const { version, applyId } = next;
      return { version, hash, applyId, changed: true };
    });
  }

  #nextVersion(req: ApplyRequest, hash: string): Types.ConfigVersion {
    const { text, applyId } = req;
    const appliedAtMs = this.#options.clock.wallMs();
    const version = req.basedOn + 1;
    return { version, hash, applyId, appliedAtMs, text };
  }

  /** Writes the version row and the history row in one transaction. */
  #write(
    next: Types.ConfigVersion,
    revision: number,
    req: ApplyRequest,
  ): Effect.Effect<
    void,
    Errors.VersionConflictError | Errors.StoreUnavailableError
  > {
    return Effect.gen({ self: this }, function* () {
      const { store, deployment } = this.#options;
      const key = TableClient.Keys.configKey(deployment);
      const { version, hash, applyId } = next;
      const historyKey = TableClient.Keys.configVersionKey(deployment, version);
      const current: CurrentRow = { version, hash, applyId };
      const written = yield* Effect.result(store.write({
        writeId: req.applyId,
        conditions: [{ key, revision }, { key: historyKey, revision: 0 }],
        writes: [
          { key, value: current },
          { key: historyKey, value: next },
        ],
      }, APPLY_TIMEOUT_MS));
      if (written._tag === "Success") return;
      if (written.failure._tag === "StoreUnavailableError") {
        return yield* written.failure;
      }
      const stored = yield* this.read(version);
      // An earlier try of this write may have succeeded with its answer lost: the
      // history row names the request that created this version.
      if (stored?.applyId === applyId) return;
      const [row] = yield* store.read([key]);
      return yield* conflict(req.basedOn, row?.value as CurrentRow);
    });
  }

  #check(
    cfg: Types.DeploymentConfig,
  ): Effect.Effect<
    void,
    Errors.InfeasibleGuaranteeError | Errors.InvalidFileError
  > {
    const { deployment } = this.#options;
    if (cfg.name !== deployment) {
      const expected = `the deployment of this box, ${deployment}`;
      const faults = [{ path: "$.name", expected }];
      const file = "operators' file";
      return Effect.fail(new Errors.InvalidFileError({ file, faults }));
    }
    for (const { name } of cfg.cells) {
      const layout = Scheduler.createCellLayout(cfg, name);
      const infeasible = Scheduler.checkGuarantees(layout);
      if (infeasible !== null) return Effect.fail(infeasible);
    }
    return Effect.void;
  }
}

function conflict(
  basedOn: number,
  current: CurrentRow | undefined,
): Effect.Effect<never, Errors.VersionConflictError> {
  return Effect.fail(
    new Errors.VersionConflictError({
      basedOn,
      inForce: current?.version ?? 0,
      inForceHash: current?.hash ?? "none",
    }),
  );
}
