/** Runs a load in a process of its own. */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { registerChild } from '../../standins/launcher/children.js';
import type { LoadPlan, LoadResult, StreamResult } from './loadPlan.js';

const LOAD_PROCESS = fileURLToPath(new URL('./loadProcess.js', import.meta.url));

/** Sends a load and returns its result; rejects when the process ends without one. */
export function runLoad(plan: LoadPlan): Promise<LoadResult> {
  return new Promise((resolve, reject) => {
    const child = fork(LOAD_PROCESS, { execArgv: [] });
    registerChild(child);
    child.once('message', (result) => resolve(result as LoadResult));
    child.once('error', reject);
    child.once('exit', (code) => reject(new Error(`load process exited with ${code}`)));
    child.send(plan);
  });
}

/** Returns the result of a stream. */
export function getStream(result: LoadResult, name: string): StreamResult {
  const found = result.streams.find((stream) => stream.name === name);
  if (found === undefined) throw new Error(`no stream ${name}`);
  return found;
}
