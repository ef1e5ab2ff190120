import { isObject } from '@rosedeck/core';
import type { JsonObject, JsonValue } from '@rosedeck/core';

const SECRET_KEY = /password|token/i;

/** Text shown in place of a secret. */
export const SECRET_TEXT = '(secret)';

/** Copies a tree or patch with each password and token replaced. */
export function redactSecrets(tree: JsonObject): JsonObject {
  const entries = Object.entries(tree).map(([key, value]) => [key, redactValue(key, value)]);
  return Object.fromEntries(entries) as JsonObject;
}

function redactValue(key: string, value: JsonValue | undefined): JsonValue | undefined {
  if (isObject(value)) return redactSecrets(value);
  return SECRET_KEY.test(key) && value !== null ? SECRET_TEXT : value;
}
