/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { fileURLToPath } from 'node:url';
import { Mesh } from './mesh.js';
import { CaseRecord } from './record.js';

const LIMIT_MS = 115_000;

/**
 * Runs the case with this module URL, beside which its record is written. `play` gets the mesh, the
 * record and whether there is trouble, and returns the violations as texts.
 */
export async function runCase(url, play) {
  const record = new CaseRecord(fileURLToPath(new URL('record.txt', url)));
  const mesh = new Mesh(record);
  const isTrouble = process.env.TROUBLE !== '0';
  const finish = async (code) => {
    await mesh.close();
    record.note(`exit code ${code}`);
    await record.close();
    // Timers and connections of the stand-ins are still open.
    // eslint-disable-next-line n/no-process-exit
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.on(signal, () => {
      void finish(2);
    });
  }
  setTimeout(() => {
    record.note('the case took too long');
    void finish(2);
  }, LIMIT_MS);
  try {
    record.note(isTrouble ? 'with the disruption' : 'without the disruption');
    const violations = await play({ mesh, record, isTrouble });
    for (const violation of violations) record.note(`broken: ${violation}`);
    if (violations.length === 0) record.note('the rule held');
    await finish(violations.length > 0 ? 1 : 0);
  } catch (thrown) {
    record.note(`could not run: ${thrown.stack}`);
    for (const { node } of mesh.hosts) record.note(await node.readLastLogLine());
    await finish(2);
  }
}
