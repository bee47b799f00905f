/** Decodes YAML by a schema and reports all faults at once. */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import * as Schema from "effect/Schema";
import * as SchemaIssue from "effect/SchemaIssue";
import * as Yaml from "yaml";

/** Maximum number of aliases in a file, against exponential expansion. */
const MAX_ALIASES = 100;

/** Readable replacements for messages of the schema library. */
const PLAIN_MESSAGES: ReadonlyMap<string, string> = new Map([
  ["Missing key", "is required; add it"],
  ["Expected no excess property", "is not known here; remove it"],
]);

/** Parses and validates a text; the error lists all faults. */
export function decodeYaml<S extends Schema.Codec<unknown, unknown>>(
  schema: S,
  source: { file: string; text: string },
): Effect.Effect<S["Type"], Errors.InvalidFileError> {
  return Effect.gen(function* () {
    const value = yield* parseYaml(source);
    const options = { errors: "all", onExcessProperty: "error" } as const;
    return yield* Schema.decodeUnknownEffect(schema)(value, options).pipe(
      Effect.mapError((err) =>
        new Errors.InvalidFileError({
          file: source.file,
          faults: listFaults(err.issue),
        })
      ),
    );
  });
}

function parseYaml(
  source: { file: string; text: string },
): Effect.Effect<unknown, Errors.InvalidFileError> {
  const doc = Yaml.parseDocument(source.text, { prettyErrors: true });
  if (doc.errors.length > 0) {
    const faults = doc.errors.map((err) => ({
      path: `line ${err.linePos?.[0].line ?? "?"}`,
      expected: err.message.split("\n")[0],
    }));
    return Effect.fail(
      new Errors.InvalidFileError({ file: source.file, faults }),
    );
  }
  return Effect.try({
    try: () => doc.toJS({ maxAliasCount: MAX_ALIASES }) as unknown,
    catch: (err) =>
      new Errors.InvalidFileError({
        file: source.file,
        faults: [{ path: "$", expected: String(err) }],
      }),
  });
}

function listFaults(issue: SchemaIssue.Issue): Errors.Fault[] {
  const format = SchemaIssue.makeFormatterStandardSchemaV1();
  return format(issue).issues.map((found) => ({
    path: formatPath(found.path ?? []),
    expected: PLAIN_MESSAGES.get(found.message) ?? found.message,
  }));
}

function formatPath(path: readonly unknown[]): string {
  let text = "$";
  for (const part of path) {
    text += typeof part === "number" ? `[${part}]` : `.${String(part)}`;
  }
  return text;
}
