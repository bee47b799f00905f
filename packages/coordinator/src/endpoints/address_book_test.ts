import * as vitest from "vitest";
import * as addresses from "./address_book.ts";

vitest.describe("AddressBook", () => {
  vitest.it("tells who else is known at an address", () => {
    const index = new addresses.AddressIndex();
    index.add("i-1", "10.0.0.1:80");
    index.add("i-2", "10.0.0.1:80");
    index.add("i-3", "10.0.0.2:80");
    vitest.expect(index.othersAt("10.0.0.1:80", "i-1")).toEqual(["i-2"]);
    vitest.expect(index.othersAt("10.0.0.2:80", "i-3")).toEqual([]);
  });

  vitest.it("forgets only the id and the address that are named", () => {
    const index = new addresses.AddressIndex();
    index.add("i-1", "10.0.0.1:80");
    index.add("i-1", "10.0.0.2:80");
    index.remove("i-1", "10.0.0.1:80");
    index.remove("i-2", "10.0.0.2:80");
    vitest.expect(index.othersAt("10.0.0.1:80", "i-2")).toEqual([]);
    vitest.expect(index.othersAt("10.0.0.2:80", "i-2")).toEqual(["i-1"]);
  });
});
