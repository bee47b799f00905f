/** HTTP client for the boxes and stand-ins of a local cluster. */
import * as HttpJson from "@cairngate/http-json";
import * as Effect from "effect/Effect";

/** HTTP reply; status 0 means that no answer was received. */
export interface ClusterReply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  /** True if the request was not sent, so that it can't have taken effect. */
  readonly neverSent: boolean;
}

/** Calls addresses over connections that are kept open. */
export class ClusterClient {
  readonly #caller: HttpJson.HttpCaller;

  /** @param connections maximum number of connections to one address */
  constructor(connections: number) {
    this.#caller = new HttpJson.HttpCaller({ connections });
  }

  /** Closes all connections. */
  close(): void {
    this.#caller.close();
  }

  /** Sends a request. Doesn't reject on a lost answer, but returns status 0. */
  async call(address: string, req: HttpJson.HttpCall): Promise<ClusterReply> {
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

  /** Sends a GET request. */
  get(address: string, path: string): Promise<ClusterReply> {
    return this.call(address, { method: "GET", path });
  }

  /** Sends a POST request with a JSON body. */
  post(
    address: string,
    path: string,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<ClusterReply> {
    return this.call(address, { method: "POST", path, body, headers });
  }
}
