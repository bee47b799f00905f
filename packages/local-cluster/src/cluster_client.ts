/** Calls the boxes and the stand-ins of a local cluster. */
import * as HttpJson from "@cairngate/http-json";
import * as Effect from "effect/Effect";

/** A reply to a caller; status 0 means that no answer came. */
export interface JobReply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  /** True where no connection could be opened. */
  readonly neverSent: boolean;
}

/** Calls over kept connections. */
export class ClusterClient {
  readonly #caller: HttpJson.HttpCaller;

  /** @param connections most connections to one address */
  constructor(connections: number) {
    this.#caller = new HttpJson.HttpCaller({ connections });
  }

  /** Closes all connections. */
  close(): void {
    this.#caller.close();
  }

  /** Calls; a lost answer is a reply with status 0. */
  async call(address: string, req: HttpJson.HttpCall): Promise<JobReply> {
    const result = await Effect.runPromise(
      Effect.result(this.#caller.call(address, req)),
    );
    if (result._tag === "Failure") {
      const { neverSent } = result.failure;
      return { status: 0, body: {}, neverSent };
    }
    const { status, body } = result.success;
    const isObject = typeof body === "object" && body !== null;
    const fields = isObject ? body as Record<string, unknown> : { text: body };
    return { status, body: fields, neverSent: false };
  }

  /** GET. */
  get(address: string, path: string): Promise<JobReply> {
    return this.call(address, { method: "GET", path });
  }

  /** POST. */
  post(
    address: string,
    path: string,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<JobReply> {
    return this.call(address, { method: "POST", path, body, headers });
  }
}
