/** A service is judged by its endpoints only once they have come up. */
import * as vitest from "vitest";
import * as services from "./known_services.ts";

vitest.describe("a service", () => {
  vitest.it("is known some time after its first endpoint was listed", () => {
    const settled = new services.SettledServices([]);
    vitest.expect(settled.has("analysis", 0)).toBe(false);
    settled.note(["analysis"], 1000);
    settled.note(["analysis", "other"], 9000);
    vitest.expect(settled.has("analysis", 10_999)).toBe(false);
    vitest.expect(settled.has("analysis", 11_000)).toBe(true);
    vitest.expect(settled.has("other", 11_000)).toBe(false);
  });

  vitest.it("is known where the coordinator before told of it", () => {
    const settled = new services.SettledServices(["analysis"]);
    settled.note(["analysis"], 1000);
    vitest.expect(settled.has("analysis", 1000)).toBe(true);
  });
});
