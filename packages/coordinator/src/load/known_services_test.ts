/** A service is judged by its endpoints only once they have come up. */
import * as vitest from "vitest";
import * as services from "./known_services.ts";

vitest.describe("a service", () => {
  vitest.it("is known some time after its first endpoint was listed", () => {
    const known = new services.KnownServices([]);
    vitest.expect(known.has("analysis", 0)).toBe(false);
    known.note(["analysis"], 1000);
    known.note(["analysis", "other"], 9000);
    vitest.expect(known.has("analysis", 10_999)).toBe(false);
    vitest.expect(known.has("analysis", 11_000)).toBe(true);
    vitest.expect(known.has("other", 11_000)).toBe(false);
  });

  vitest.it("is known where the coordinator before told of it", () => {
    const known = new services.KnownServices(["analysis"]);
    known.note(["analysis"], 1000);
    vitest.expect(known.has("analysis", 1000)).toBe(true);
  });
});
