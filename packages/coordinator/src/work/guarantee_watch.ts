/**
 * Tells the operator what guarantees can not have while data centres are evacuated:
 * room that was paid for is then neither given nor silently forgotten.
 */
import type * as Ports from "@cairngate/ports";
import * as describing from "./describe.ts";
import type * as ports from "../ports.ts";
import type * as directories from "../endpoints/endpoint_directory.ts";

/** Compares guarantees with the room that is left. */
export class GuaranteeWatch {
  readonly #ports: ports.CoordinatorPorts;
  readonly #directory: directories.EndpointDirectory;
  /** Accelerators that were short when it was last told. */
  #loggedShortfall = 0;

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    directory: directories.EndpointDirectory,
  ) {
    this.#ports = coordinatorPorts;
    this.#directory = directory;
  }

  /** What guarantees can have now. */
  describe(): describing.GuaranteeDump {
    return describing.describeGuarantees(
      guaranteesOf(this.#ports.config()),
      this.#directory.openAccelerators,
    );
  }

  /** Logs once each time when what is short has changed. */
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
        ? `Teams have paid for ${paidFor} accelerators and ${open} are left ` +
          `beside the evacuations: ${shortfall} can not be had.`
        : "What teams have paid for can be had again.",
    );
  }
}

/** Accelerators that each team has paid for. */
export function guaranteesOf(
  config: Ports.AccessConfig | null,
): ReadonlyMap<string, number> {
  const teams = config?.tenants ?? [];
  return new Map(teams.map(({ name, guaranteed }) => [name, guaranteed]));
}
