import * as vitest from "vitest";
import * as addresses from "./address_index.ts";

vitest.describe("AddressIndex", () => {
  vitest.it("returns the other endpoints at an address", () => {
    const index = new addresses.AddressIndex();
    index.add("i-1", "10.0.0.1:80");
    index.add("i-2", "10.0.0.1:80");
    index.add("i-3", "10.0.0.2:80");
    vitest.expect(index.othersAt("10.0.0.1:80", "i-1")).toEqual(["i-2"]);
    vitest.expect(index.othersAt("10.0.0.2:80", "i-3")).toEqual([]);
  });

  vitest.it("removes only the given endpoint from the given address", () => {
    const index = new addresses.AddressIndex();
    index.add("i-1", "10.0.0.1:80");
    index.add("i-1", "10.0.0.2:80");
    index.remove("i-1", "10.0.0.1:80");
    index.remove("i-2", "10.0.0.2:80");
    vitest.expect(index.othersAt("10.0.0.1:80", "i-2")).toEqual([]);
    vitest.expect(index.othersAt("10.0.0.2:80", "i-2")).toEqual(["i-1"]);
  });
});
