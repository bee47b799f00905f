/** Decodes stored caller scopes, which any program may have written. */
import type * as scopes from "./caller_scope.ts";
import * as checks from "./stored_value_checks.ts";

const SCOPE_CHECKS = {
  queue: checks.isText,
  team: checks.isText,
  anonymous: checks.isFlag,
};

/** Decodes a stored caller scope; null if it is not one. */
export function decodeCallerScope(value: unknown): scopes.CallerScope | null {
  if (!checks.isFields(value)) return null;
  if (checks.findWrongField(value, SCOPE_CHECKS) !== null) return null;
  return value as unknown as scopes.CallerScope;
}
