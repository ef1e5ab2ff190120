import { fork } from 'node:child_process';
import { prepareProgram } from '../programs';
import type { LoadPlan, LoadProgress, LoadResult } from './plan';

type LoadMessage = { readonly progress: LoadProgress } | { readonly result: LoadResult };

/** Runs a load in a child process; rejects when the process exits without a result. */
export async function startLoad(
  plan: LoadPlan,
  onProgress: (progress: LoadProgress) => void,
): Promise<LoadResult> {
  const child = fork(await prepareProgram('load'), [JSON.stringify(plan)]);
  return new Promise((resolve, reject) => {
    child.on('message', (message: LoadMessage) => {
      if ('progress' in message) onProgress(message.progress);
      else resolve(message.result);
    });
    child.once('exit', (code) => {
      reject(new Error(`the load process exited with ${code ?? 'a signal'}`));
    });
  });
}
