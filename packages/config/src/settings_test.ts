import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as settings from "./settings.ts";

const { expect, test } = vitest;

const VALID = `
box: box_1
dataCentre: brno
deployment: polni_data
callersAddress: 127.0.0.1:1
operatorsAddress: 127.0.0.1:2
peersAddress: 127.0.0.1:3
platformAddress: 127.0.0.1:4
`;

async function parse(text: string) {
  return await Effect.runPromise(
    Effect.result(settings.parseSettings(text, "box.yaml")),
  );
}

test("settings that are left out have defaults", async () => {
  const parsed = await parse(VALID);
  expect(parsed).toMatchObject({
    success: { logLevel: "info", times: { heartbeatMs: 500 }, peers: [] },
  });
});

test("all faults of a settings file are reported, with paths", async () => {
  const text = VALID.replace("box: box_1\n", "")
    .replace("127.0.0.1:1", "nowhere") +
    "spare: 1\ntimes: {heartbeatMs: -5}\nlogLevel: loud\n";
  const parsed = await parse(text);
  const failure = parsed._tag === "Failure" ? parsed.failure : null;
  const paths = failure!.faults.map((fault) => fault.path).sort();
  expect(paths).toEqual([
    "$.box",
    "$.callersAddress",
    "$.logLevel",
    "$.spare",
    "$.times.heartbeatMs",
  ]);
  expect(failure!.message).toContain("box.yaml is not valid");
  expect(failure!.message).toContain("$.box: is required; add it");
  expect(failure!.message).toContain("$.spare: is not known here; remove it");
});

test("a YAML syntax error names its line", async () => {
  const parsed = await parse("box: [1\nx: }");
  const failure = parsed._tag === "Failure" ? parsed.failure : null;
  expect(failure!.faults[0].path).toMatch(/^line \d+$/);
});
