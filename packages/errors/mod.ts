/** All failures of cairngate, as tagged errors. */
export * from "./src/errors.ts";
