/**
 * Logs by how many accelerators the guarantees of teams fall short while data centres
 * are evacuated, so that the operator notices guarantees that can't be met.
 */
import type * as Ports from "@cairngate/ports";
import * as describing from "./describe.ts";
import type * as ports from "../ports.ts";
import type * as directories from "../endpoints/endpoint_directory.ts";

/** Compares the guarantees of teams with the open accelerators. */
export class GuaranteeWatch {
  readonly #ports: ports.CoordinatorPorts;
  readonly #directory: directories.EndpointDirectory;
  /** Shortfall in accelerators at the last log line; 0 where there was none. */
  #loggedShortfall = 0;

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    directory: directories.EndpointDirectory,
  ) {
    this.#ports = coordinatorPorts;
    this.#directory = directory;
  }

  /** Guarantees, open accelerators and shortfall as of now. */
  describe(): describing.GuaranteeDump {
    return describing.describeGuarantees(
      guaranteesOf(this.#ports.config()),
      this.#directory.schedulableAccelerators,
    );
  }

  /** Logs the shortfall whenever it has changed. */
  logChanges(): void {
    const { evacuations, log } = this.#ports;
    const isEvacuating = evacuations.list().length > 0;
    if (!isEvacuating && this.#loggedShortfall === 0) return;
    const { paidFor, open, short } = this.describe();
    const shortfall = isEvacuating ? short : 0;
    if (shortfall === this.#loggedShortfall) return;
    this.#loggedShortfall = shortfall;
    log.warn(
      shortfall > 0
        ? `Teams are guaranteed ${paidFor} accelerators, but ${open} are left ` +
          `during the evacuations: ${shortfall} can not be had.`
        : "Evacuations leave no guarantee short any more.",
    );
  }
}

/** Guaranteed accelerators by team; empty without a configuration. */
export function guaranteesOf(
  config: Ports.AccessConfig | null,
): ReadonlyMap<string, number> {
  const teams = config?.tenants ?? [];
  return new Map(teams.map(({ name, guaranteed }) => [name, guaranteed]));
}
