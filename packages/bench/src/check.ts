import { parseArgs } from 'node:util';
import { FAULT_KINDS } from './check/faults';
import { NAIVE_POLICIES } from './check/naivePolicies';
import { runSeed } from './check/run';
import { shrinkFaults } from './check/shrink';
import { listGapsByKind, summarise } from './check/summary';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '100' },
    seed: { type: 'string' },
    first: { type: 'string', default: '1' },
    policy: { type: 'string' },
    kinds: { type: 'string' },
    trace: { type: 'boolean', default: false },
    all: { type: 'boolean', default: false },
  },
});

const policies = values.policy === undefined ? undefined : NAIVE_POLICIES[values.policy];
if (values.policy !== undefined && !policies) {
  throw new Error(`unknown policy; choose one of: ${Object.keys(NAIVE_POLICIES).join(', ')}`);
}
const first = Number(values.seed ?? values.first);
const count = values.seed === undefined ? Number(values.seeds) : 1;
const kinds = FAULT_KINDS.filter((kind) => values.kinds?.split(',').includes(kind));
const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};
const trace = (at: number, line: string): void => {
  print(`${at.toFixed(2).padStart(9)} ${line}`);
};

const results = [];
for (let seed = first; seed < first + count; seed += 1) {
  const result = runSeed({ seed, policies, kinds, trace: values.trace ? trace : undefined });
  results.push(result);
  if (result.violations.length === 0) continue;
  const shrunk = shrinkFaults(result, policies);
  print(`seed ${seed} failed: ${shrunk.faults.map((fault) => fault.kind).join(', ')}`);
  for (const violation of shrunk.violations.slice(0, 3)) {
    print(`  ${violation.at.toFixed(1)} ms ${violation.kind}: ${violation.detail}`);
  }
  const policy = values.policy === undefined ? '' : ` --policy ${values.policy}`;
  print(`  replay: npm run check -- --seed ${seed}${policy} --trace`);
  if (!values.all) break;
}
print(summarise(results));
if (values.all) for (const line of listGapsByKind(results)) print(line);
process.exitCode = results.some((result) => result.violations.length > 0) ? 1 : 0;
