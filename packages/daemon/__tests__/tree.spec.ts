import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { explainSettings } from '../src/explain';
import { checkTree } from '../src/treeCheck';
import { getCallerDefaults, createGroupSpecs } from '../src/tree';
import { redactSecrets } from '../src/redact';

const TARGET = { host: '10.0.0.1', port: 3306, control_port: 3307, failure_domain: 'kochi-a' };

const TREE = {
  levels: {
    all: { deadline_ms: 1_500, connection_limit: 20, slots: 3 },
    south: { parent: 'all', max_age_ms: 400 },
  },
  customers: {
    authority: {
      level: 'south',
      user: 'desk',
      password: 'secret',
      target_user: 'proxy',
      target_password: 'hidden',
      classes: ['booking', 'heartbeat'],
      class: { heartbeat: { max_age_ms: 5_000 } },
    },
  },
  groups: {
    schedule: {
      customer: 'authority',
      slots: 2,
      class: { heartbeat: { deadline_ms: 300 } },
      targets: [{ id: 's1', ...TARGET }],
    },
  },
};

/** Copies the tree with one value replaced, by dotted key. */
function replaceValue(key: string, value: unknown): unknown {
  const copy = structuredClone(TREE) as Record<string, unknown>;
  const steps = key.split('.');
  const last = steps.pop() ?? '';
  let parent = copy;
  for (const step of steps) parent = parent[step] as Record<string, unknown>;
  parent[last] = value;
  return copy;
}

function formatIssuesOf(key: string, value: unknown): string[] {
  return checkTree('tree.toml', replaceValue(key, value)).issues.map(
    (issue) => `${issue.file}: ${issue.key}: ${issue.problem}`,
  );
}

test('the nearest scope sets a value, and a class overrides all scopes', () => {
  const { tree } = checkTree('tree.toml', TREE);
  if (!tree) throw new Error('the tree is invalid');
  const [spec] = createGroupSpecs(tree);
  assert.is(spec?.slots, 2);
  assert.is(spec?.connectionLimit, 20);
  assert.is(spec?.connectionReserve, 2);
  assert.equal(spec?.classRanks, { booking: 0, heartbeat: 1 });
  const defaults = getCallerDefaults(tree);
  assert.equal(defaults.statementDefaults('schedule', undefined), {
    cls: 'booking',
    deadlineMs: 1_500,
    maxAgeMs: 400,
    idempotent: false,
  });
  assert.equal(defaults.statementDefaults('schedule', 'heartbeat'), {
    cls: 'heartbeat',
    deadlineMs: 300,
    maxAgeMs: 5_000,
    idempotent: false,
  });
});

test('explain names the scope of each value and hides secrets', () => {
  const { tree } = checkTree('tree.toml', TREE);
  if (!tree) throw new Error('the tree is invalid');
  const explain = (cls?: string): Map<string, unknown> =>
    new Map(
      explainSettings(tree, { group: 'schedule', cls })?.map(({ key, value, from }) => [
        key,
        [value, from],
      ]),
    );
  assert.equal(explain().get('slots'), [2, 'group schedule']);
  assert.equal(explain().get('deadline_ms'), [1_500, 'level all']);
  assert.equal(explain().get('connection_reserve'), [2, 'built-in']);
  assert.equal(explain().get('target_password'), ['(secret)', 'customer authority']);
  assert.equal(explain('heartbeat').get('max_age_ms'), [
    5_000,
    'class heartbeat of customer authority',
  ]);
  assert.equal(explain('heartbeat').get('deadline_ms'), [300, 'class heartbeat of group schedule']);
  assert.is(explainSettings(tree, { group: 'nothing' }), undefined);
});

test('issues name the file, the key, the value found and the allowed values', () => {
  const cases: [string, unknown, string][] = [
    [
      'groups.schedule.slotz',
      3,
      'tree.toml: groups.schedule.slotz: unknown key; allowed here: deadline_ms, max_age_ms, idempotent, default_class, classes, slots, connection_limit, connection_reserve, queue_limit, target_user, target_password, class, customer, targets',
    ],
    [
      'groups.schedule.slots',
      'two',
      'tree.toml: groups.schedule.slots: found "two"; allowed: number',
    ],
    [
      'groups.schedule.slots',
      0,
      'tree.toml: groups.schedule.slots: found 0; allowed: number above 0',
    ],
    [
      'groups.schedule.customer',
      'nobody',
      'tree.toml: groups.schedule.customer: found "nobody"; allowed: authority',
    ],
    [
      'customers.authority.password',
      7,
      'tree.toml: customers.authority.password: found a secret; allowed: string',
    ],
    [
      'customers.authority.level',
      'north',
      'tree.toml: customers.authority.level: found "north"; allowed: all, south',
    ],
    [
      'groups.schedule.default_class',
      'vip',
      'tree.toml: groups.schedule.default_class: found "vip"; allowed: booking, heartbeat (group schedule)',
    ],
    [
      'groups.schedule.connection_reserve',
      20,
      'tree.toml: groups.schedule.connection_reserve: found 20 (group schedule); allowed: less than connection_limit, which is 20 (level all)',
    ],
    [
      'groups.schedule.slots',
      19,
      'tree.toml: groups.schedule.slots: found 19 (group schedule); allowed: at most connection_limit - connection_reserve, which is 18',
    ],
    [
      'levels.all.parent',
      'south',
      'tree.toml: levels.all.parent: found a cycle over all; allowed: a level above it',
    ],
  ];
  for (const [key, value, expected] of cases) {
    const issues = formatIssuesOf(key, value);
    assert.is(issues[0], expected);
  }
});

test('a required value that no scope sets is reported', () => {
  const tree = structuredClone(TREE) as { levels: { all: object } };
  tree.levels.all = { deadline_ms: 1 };
  const { issues } = checkTree('tree.toml', tree);
  assert.equal(
    issues.map((issue) => issue.key),
    ['groups.schedule.connection_limit'],
  );
});

test('secrets are redacted for the audit log', () => {
  const patch = { customers: { a: { password: 'x', user: 'u', target_password: null } } };
  assert.equal(redactSecrets(patch), {
    customers: { a: { password: '(secret)', user: 'u', target_password: null } },
  });
});

test.run();
