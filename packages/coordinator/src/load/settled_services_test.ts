/** A service counts only once all of its endpoints had time to be listed. */
import * as vitest from "vitest";
import * as services from "./settled_services.ts";

vitest.describe("SettledServices", () => {
  vitest.it("has a service 10 s after its first endpoint was listed", () => {
    const settled = new services.SettledServices([]);
    vitest.expect(settled.has("analysis", 0)).toBe(false);
    settled.note(["analysis"], 1000);
    settled.note(["analysis", "other"], 9000);
    vitest.expect(settled.has("analysis", 10_999)).toBe(false);
    vitest.expect(settled.has("analysis", 11_000)).toBe(true);
    vitest.expect(settled.has("other", 11_000)).toBe(false);
  });

  vitest.it("has the services of the previous coordinator's forecast", () => {
    const settled = new services.SettledServices(["analysis"]);
    settled.note(["analysis"], 1000);
    vitest.expect(settled.has("analysis", 1000)).toBe(true);
  });
});
