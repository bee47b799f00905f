/** Every failure of cairngate as a tagged error. */
export * from "./src/errors.ts";
