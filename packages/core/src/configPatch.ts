/** A JSON value. */
export type JsonValue = string | number | boolean | null | readonly JsonValue[] | JsonObject;

/** A JSON object. */
export interface JsonObject {
  readonly [key: string]: JsonValue | undefined;
}

/** Applies a JSON merge patch: objects merge, null removes, anything else replaces. */
export function applyPatch(base: JsonObject, patch: JsonObject): JsonObject {
  const merged = new Map(Object.entries(base));
  for (const [key, value] of Object.entries(patch)) {
    if (value === undefined) continue;
    if (value === null) {
      merged.delete(key);
      continue;
    }
    merged.set(key, isObject(value) ? mergeObject(merged.get(key), value) : value);
  }
  return Object.fromEntries(merged);
}

/** The merge patch that turns `base` into `next`; undefined when they are equal. */
export function diffTrees(base: JsonObject, next: JsonObject): JsonObject | undefined {
  const patch = new Map<string, JsonValue>();
  for (const key of Object.keys(base)) if (!hasValue(next, key)) patch.set(key, null);
  for (const [key, value] of Object.entries(next)) {
    if (value === undefined || value === null) continue;
    const change = diffValue(Object.hasOwn(base, key) ? base[key] : undefined, value);
    if (change !== undefined) patch.set(key, change);
  }
  return patch.size === 0 ? undefined : Object.fromEntries(patch);
}

function mergeObject(base: JsonValue | undefined, patch: JsonObject): JsonObject {
  return applyPatch(isObject(base) ? base : {}, patch);
}

function diffValue(base: JsonValue | undefined, next: JsonValue): JsonValue | undefined {
  if (isObject(base) && isObject(next)) return diffTrees(base, next);
  return JSON.stringify(base) === JSON.stringify(next) ? undefined : next;
}

function hasValue(object: JsonObject, key: string): boolean {
  return Object.hasOwn(object, key) && object[key] !== undefined && object[key] !== null;
}

/** True for a JSON object; false for an array and for null. */
export function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
