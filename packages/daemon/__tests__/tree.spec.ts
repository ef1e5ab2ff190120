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

/** The tree with one value replaced, by dotted key. */
function replaceValue(key: string, value: unknown): unknown {
  const copy = structuredClone(TREE) as Record<string, unknown>;
  const steps = key.split('.');
  const last = steps.pop() ?? '';
  let place = copy;
  for (const step of steps) place = place[step] as Record<string, unknown>;
  place[last] = value;
  return copy;
}

function formatIssuesOf(key: string, value: unknown): string[] {
  return checkTree('tree.toml', replaceValue(key, value)).issues.map(
    (fault) => `${fault.file}: ${fault.key}: ${fault.problem}`,
  );
}

test('a value is that of the nearest level, and a class overrides all of them', () => {
  const { tree } = checkTree('tree.toml', TREE);
  if (!tree) throw new Error('refused');
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

test('explain names the level of each value and hides secrets', () => {
  const { tree } = checkTree('tree.toml', TREE);
  if (!tree) throw new Error('refused');
  const of = (cls?: string): Map<string, unknown> =>
    new Map(
      explainSettings(tree, { group: 'schedule', cls })?.map(({ key, value, from }) => [
        key,
        [value, from],
      ]),
    );
  assert.equal(of().get('slots'), [2, 'group schedule']);
  assert.equal(of().get('deadline_ms'), [1_500, 'level all']);
  assert.equal(of().get('connection_reserve'), [2, 'built-in']);
  assert.equal(of().get('target_password'), ['(secret)', 'customer authority']);
  assert.equal(of('heartbeat').get('max_age_ms'), [5_000, 'class heartbeat of customer authority']);
  assert.equal(of('heartbeat').get('deadline_ms'), [300, 'class heartbeat of group schedule']);
  assert.is(explainSettings(tree, { group: 'nothing' }), undefined);
});

test('bad settings name the file, the key, what was found and what is allowed', () => {
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
    const faults = formatIssuesOf(key, value);
    assert.is(faults[0], expected);
  }
});

test('a missing value that no level gives is named', () => {
  const tree = structuredClone(TREE) as { levels: { all: object } };
  tree.levels.all = { deadline_ms: 1 };
  const { issues: faults } = checkTree('tree.toml', tree);
  assert.equal(
    faults.map((fault) => fault.key),
    ['groups.schedule.connection_limit'],
  );
});

test('secrets do not reach the audit trail', () => {
  const patch = { customers: { a: { password: 'x', user: 'u', target_password: null } } };
  assert.equal(redactSecrets(patch), {
    customers: { a: { password: '(secret)', user: 'u', target_password: null } },
  });
});

test.run();
