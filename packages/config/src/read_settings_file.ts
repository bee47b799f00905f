/** Reads settings files from disk. */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import * as fs from "node:fs/promises";
import * as settings from "./settings.ts";

/** Reads and validates a box's settings file. */
export function readSettingsFile(
  file: string,
): Effect.Effect<settings.BoxSettings, Errors.InvalidFileError> {
  const text = readText(file);
  return Effect.flatMap(text, (t) => settings.parseSettings(t, file));
}

/** Reads the text of a file. */
export function readText(
  file: string,
): Effect.Effect<string, Errors.InvalidFileError> {
  return Effect.tryPromise({
    try: () => fs.readFile(file, "utf8"),
    catch: (err) =>
      new Errors.InvalidFileError({
        file,
        faults: [{ path: "$", expected: `a readable file (${err})` }],
      }),
  });
}
