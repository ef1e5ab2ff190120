import { z } from 'zod';

const name = z.string().regex(/^[\w.-]{1,64}$/);
const port = z.number().int().min(1).max(65_535);
const milliseconds = z.number().int().positive();

const targetSchema = z.strictObject({
  id: name,
  host: z.string().min(1),
  port,
  control_port: port,
  failure_domain: z.string().min(1),
});

/** Settings that a traffic class may override. */
const classSchema = z.strictObject({
  deadline_ms: milliseconds.optional(),
  max_age_ms: z.number().int().nonnegative().optional(),
  idempotent: z.boolean().optional(),
});

/** Settings that levels, customers and groups may set; each passes them down. */
const scopeShape = {
  deadline_ms: milliseconds.optional(),
  max_age_ms: z.number().int().nonnegative().optional(),
  /** Whether writes without the mark `idempotent` count as idempotent. */
  idempotent: z.boolean().optional(),
  default_class: name.optional(),
  /** Class names, highest priority first. */
  classes: z.array(name).min(1).optional(),
  slots: z.number().int().positive().optional(),
  connection_limit: z.number().int().positive().optional(),
  connection_reserve: z.number().int().nonnegative().optional(),
  queue_limit: z.number().int().positive().optional(),
  target_user: z.string().min(1).optional(),
  target_password: z.string().optional(),
  class: z.record(name, classSchema).optional(),
};

const levelSchema = z.strictObject({ ...scopeShape, parent: name.optional() });

const customerSchema = z.strictObject({
  ...scopeShape,
  level: name.optional(),
  user: z.string().min(1),
  password: z.string().min(1),
});

const groupSchema = z.strictObject({
  ...scopeShape,
  customer: name,
  targets: z.array(targetSchema).min(1),
});

/** Schema of the configuration tree that operators write. */
export const treeSchema = z.strictObject({
  levels: z.record(name, levelSchema).optional(),
  customers: z.record(name, customerSchema),
  groups: z.record(name, groupSchema),
});

/** Configuration tree as written, before settings are inherited. */
export type Tree = z.infer<typeof treeSchema>;

/** Customer as written in the tree. */
export type TreeCustomer = z.infer<typeof customerSchema>;

/** Database group as written in the tree. */
export type TreeGroup = z.infer<typeof groupSchema>;

/** Settings that a level, a customer or a group sets itself. */
export type ScopeSettings = Pick<TreeGroup, keyof typeof scopeShape>;

/** Settings that a class overrides. */
export type ClassSettings = z.infer<typeof classSchema>;

/** Tree of a daemon that has no configuration yet. */
export const EMPTY_TREE: Tree = { customers: {}, groups: {} };
