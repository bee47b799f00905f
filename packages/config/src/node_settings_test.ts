/** Settings of a box that runs workflows. */
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as settings from "./node_settings.ts";

const TEXT = `
node: edge-1
zone: brno-a
callersAddress: "10.1.0.1:80"
readinessAddress: "10.1.0.1:81"
peersAddress: "10.1.0.1:7000"
processor: { share: 0.5, cores: 1 }
storeAddress: "10.200.0.1:80"
storeRowBytes: 65536
storeWritesPerSecond: 800
configInForceMs: 2000
graceSeconds: 6
bounds:
  longestLeaseMs: 10000
  stopMs: 900
  gangWaitMs: 3000
  remotePenalty: 3
  keepEndedMs: 120000
`;

const parse = (text: string) =>
  Effect.runPromise(settings.parseNodeSettings(text, "node.yaml"));

vitest.describe("evacuationInForceMs", () => {
  vitest.it("is read from the file", async () => {
    const parsed = await parse(`${TEXT}evacuationInForceMs: 4000\n`);
    vitest.expect(parsed.evacuationInForceMs).toBe(4000);
  });

  vitest.it(
    "is 5 s if the key is missing or has no value",
    async () => {
      const unset = [
        await parse(TEXT),
        await parse(`${TEXT}evacuationInForceMs:`),
      ];
      vitest.expect(unset.map((one) => one.evacuationInForceMs))
        .toEqual([5000, 5000]);
    },
  );

  vitest.it("is rejected if it is not a positive time", async () => {
    const parsed = settings.parseNodeSettings(
      `${TEXT}evacuationInForceMs: -1`,
      "node.yaml",
    );
    const err = await Effect.runPromise(Effect.flip(parsed));
    vitest.expect(err.message).toContain("evacuationInForceMs");
  });
});

vitest.describe("the limits of the machine", () => {
  vitest.it("are read from the file", async () => {
    const parsed = await parse(`${TEXT}memoryMb: 700\nmaxFds: 9000\n`);
    vitest.expect([parsed.memoryMb, parsed.maxFds]).toEqual([700, 9000]);
  });

  vitest.it("have defaults if they are missing or have no value", async () => {
    for (const text of [TEXT, `${TEXT}memoryMb:\nmaxFds:\n`]) {
      const parsed = await parse(text);
      vitest.expect([parsed.memoryMb, parsed.maxFds]).toEqual([350, 4100]);
    }
  });
});

vitest.describe("hardLoad", () => {
  vitest.it("is off by default", async () => {
    const { hardLoad } = await parse(TEXT);
    vitest.expect(hardLoad).toEqual({
      competingTeams: "off",
      unevenEndpoints: "off",
    });
  });

  vitest.it("is read from the file separately for each feature", async () => {
    const { hardLoad } = await parse(
      `${TEXT}hardLoad: { competingTeams: auto }`,
    );
    vitest.expect(hardLoad).toEqual({
      competingTeams: "auto",
      unevenEndpoints: "off",
    });
  });

  vitest.it("is rejected if the mode is unknown", async () => {
    const parsed = settings.parseNodeSettings(
      `${TEXT}hardLoad: { competingTeams: sometimes }`,
      "node.yaml",
    );
    const err = await Effect.runPromise(Effect.flip(parsed));
    vitest.expect(err.message).toContain("hardLoad.competingTeams");
  });
});
