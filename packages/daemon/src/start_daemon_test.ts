import * as Config from "@cairngate/config";
import * as HttpJson from "@cairngate/http-json";
import * as Effect from "effect/Effect";
import * as fs from "node:fs/promises";
import * as vitest from "vitest";
import * as daemons from "./start_daemon.ts";

const { afterAll, beforeAll, describe, expect, test } = vitest;

const CALLERS = "127.0.0.1:28201";
const OPERATORS = "127.0.0.1:28202";
const FILE = "examples/dala_toll/deployment.yaml";
const SETTINGS = `
box: test
dataCentre: astana_1
deployment: dala_toll
callersAddress: ${CALLERS}
operatorsAddress: ${OPERATORS}
peersAddress: 127.0.0.1:28203
platformAddress: 127.0.0.1:28204
logLevel: error
limits: { bodyBytes: 20000 }
`;

const caller = new HttpJson.HttpCaller({ connections: 8 });
let daemon: daemons.RunningDaemon;

async function call(address: string, request: HttpJson.HttpCall) {
  return await Effect.runPromise(caller.call(address, request));
}

async function submit(body: unknown, headers: Record<string, string> = {}) {
  const path = "/v1/jobs";
  return await call(CALLERS, { method: "POST", path, body, headers });
}

async function awaitCellOwner(): Promise<void> {
  for (let i = 0; i < 400; i++) {
    const path = "/v1/status";
    const { body } = await call(OPERATORS, { method: "GET", path });
    const [cell] = (body as { cells?: { sealedWorkers: number }[] }).cells ??
      [];
    if (cell !== undefined && cell.sealedWorkers > 0) return;
    await Effect.runPromise(Effect.sleep(25));
  }
}

beforeAll(async () => {
  const settings = await Effect.runPromise(
    Config.parseSettings(SETTINGS, "test"),
  );
  const embeddedFile = await fs.readFile(FILE, "utf8");
  daemon = await Effect.runPromise(
    daemons.startDaemon({ settings, embeddedFile }),
  );
  const body = { text: embeddedFile, basedOn: 0, applyId: "first" };
  await call(OPERATORS, { method: "POST", path: "/v1/config", body });
  await awaitCellOwner();
});

afterAll(async () => {
  caller.close();
  await Effect.runPromise(daemon.stop());
});

describe("callers' HTTP", () => {
  test("returns a match of the submitted plates", async () => {
    const reply = await submit({
      team: "gantry_west",
      service: "plate_match",
      input: {
        request: "r7",
        captures: [{ plate: "A1" }, { plate: "B2" }],
        accounts: [{ plate: "A1", account: "x" }],
      },
    });
    expect(reply.status).toBe(200);
    expect(reply.body).toMatchObject({
      outcome: "done",
      result: {
        request: "r7",
        matched: [{ plate: "A1", account: "x" }],
        unmatched: ["B2"],
      },
    });
  });

  test("stores a long gang and returns its result later", async () => {
    const accepted = await submit({
      team: "settlement_office",
      service: "night_settlement",
      input: {
        runMs: 50,
        claims: [{ from: "west", to: "east", amount: 3 }],
      },
    });
    expect(accepted.status).toBe(202);
    const path = String(accepted.headers.location);
    const headers = { prefer: "wait=20" };
    const ended = await call(CALLERS, { method: "GET", path, headers });
    expect(ended.body).toMatchObject({ state: "done", outcome: "done" });
    const { result } = ended.body as { result: { balances: object }[] };
    expect(result).toHaveLength(8);
    expect(result[0].balances).toEqual({ west: -3, east: 3 });
  });

  test.each([
    [{ team: "nobody", service: "plate_match" }, "team"],
    [{ team: "gantry_west", service: "none" }, "service"],
    [{ team: "gantry_west", service: "plate_match", gang: -1 }, "gang"],
    [{ team: "gantry_west", service: "plate_match", spare: 1 }, "spare"],
    [{ team: "gantry_west", service: "plate_match", gang: 2 }, "gang"],
    [[], "body"],
  ])("names the field of a bad request, %j", async (body, field) => {
    const reply = await submit(body);
    expect(reply.status).toBe(400);
    expect(reply.headers["content-type"]).toBe("application/problem+json");
    expect(reply.body).toMatchObject({ field, outcome: "not-run" });
  });

  test("refuses a body that is too large and keeps serving", async () => {
    const input = "x".repeat(30_000);
    const body = { team: "gantry_west", service: "plate_match", input };
    expect((await submit(body)).status).toBe(413);
    const path = "/healthz";
    expect((await call(OPERATORS, { method: "GET", path })).status).toBe(200);
  });

  test("responds with 404 for a job that was never submitted", async () => {
    const path = "/v1/jobs/astana.0000";
    const reply = await call(CALLERS, { method: "GET", path });
    expect(reply.status).toBe(404);
  });
});

describe("operators' HTTP", () => {
  test("prints metrics with quantiles", async () => {
    const path = "/metrics";
    const reply = await call(OPERATORS, { method: "GET", path });
    expect(String(reply.body)).toMatch(
      /cairngate_short_job_seconds\{quantile="0.99"\} [\d.]+/,
    );
  });

  test("refuses a file for another deployment", async () => {
    const text = await fs.readFile(
      "examples/polni_data/deployment.yaml",
      "utf8",
    );
    const body = { text, basedOn: 1, applyId: "other" };
    const path = "/v1/config";
    const reply = await call(OPERATORS, { method: "POST", path, body });
    expect(reply.status).toBe(400);
  });
});
