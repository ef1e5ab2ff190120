import { readFileSync } from 'node:fs';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parse } from 'smol-toml';
import { z } from 'zod';
import { DEFAULT_CORE_SETTINGS } from '@rosedeck/core';
import type { CoreSettings } from '@rosedeck/core';
import { convertZodIssues } from './settingsIssues';
import type { SettingsIssue } from './settingsIssues';

const address = z.strictObject({
  host: z.string().min(1),
  port: z.number().int().min(0).max(65_535),
});

const callerTls = z.strictObject({
  cert_file: z.string().min(1),
  key_file: z.string().min(1),
  /** When false, callers may also log in without TLS. */
  required: z.boolean().default(true),
});

const peerTls = z.strictObject({
  cert_file: z.string().min(1),
  key_file: z.string().min(1),
  /** Certificate authority that signs the certificates of all daemons. */
  ca_file: z.string().min(1),
});

const tuningKeys = Object.keys(DEFAULT_CORE_SETTINGS) as (keyof CoreSettings)[];

/** Core settings under the names that the core uses; meant for experiments. */
const tuningSchema = z.strictObject(
  Object.fromEntries(
    tuningKeys.map((name) => [name, z.number().nonnegative().optional()]),
  ) as Record<keyof CoreSettings, z.ZodOptional<z.ZodNumber>>,
);

const settingsSchema = z.strictObject({
  daemon: z.strictObject({
    id: z.string().regex(/^[\w.-]{1,64}$/),
    failure_domain: z.string().min(1),
  }),
  caller: address.extend({ tls: callerTls.optional() }),
  peer: address.extend({ tls: peerTls.optional() }),
  metrics: address.optional(),
  operator: z
    .strictObject({
      ...address.shape,
      /** Token of each operator, by the name that audit records show. */
      tokens: z.record(z.string().regex(/^[\w.-]{1,64}$/), z.string().min(8)),
    })
    .optional(),
  log: z
    .strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
    .default({ level: 'info' }),
  store: address,
  list: address,
  tuning: tuningSchema.default({}),
  limits: z
    .strictObject({
      caller_connections: z.number().int().positive().default(20_000),
      peer_silence_ms: z.number().int().positive().default(400),
      drain_ms: z.number().int().positive().default(10_000),
    })
    .default({ caller_connections: 20_000, peer_silence_ms: 400, drain_ms: 10_000 }),
});

/** Settings of one daemon, with the defaults filled in. */
export type DaemonSettings = z.infer<typeof settingsSchema>;

/** Reads and checks a daemon's settings file; any issue rejects the whole file. */
export function readDaemonSettings(file: string): Result<DaemonSettings, SettingsIssue[]> {
  return parseToml(file, settingsSchema);
}

/** Reads a TOML file and validates it against a schema; an error holds every issue. */
export function parseToml<T>(file: string, schema: z.ZodType<T>): Result<T, SettingsIssue[]> {
  const parsed = readToml(file);
  if (parsed.isErr()) return err(parsed.error);
  const result = schema.safeParse(parsed.value);
  if (result.success) return ok(result.data);
  return err(convertZodIssues(file, result.error.issues, schema, parsed.value));
}

/** Reads a TOML file without validation; a read or syntax error is one issue without a key. */
export function readToml(file: string): Result<unknown, SettingsIssue[]> {
  try {
    return ok(parse(readFileSync(file, 'utf8')));
  } catch (cause) {
    const problem = cause instanceof Error ? cause.message : String(cause);
    return err([{ file, key: '', problem }]);
  }
}
