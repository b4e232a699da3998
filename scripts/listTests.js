/**
 * Prints the test files that may run beside each other (`shared`), or those that measure the memory
 * of a process and run one at a time, apart from other load (`alone`).
 */
import { readdir } from 'node:fs/promises';
import { join } from 'node:path';

const TEST_FOLDER = 'dist/test';

const ALONE = new Set(
  ['endlessResponses', 'largeBodies', 'largeUploads', 'tinyChunks', 'untrustedClients'].map(
    (name) => join('platform', `${name}.test.js`),
  ),
);

const [, , group] = process.argv;
if (group !== 'alone' && group !== 'shared') {
  throw new Error(`unknown group of tests ${group}; one of alone, shared`);
}

const isWanted = (file) => ALONE.has(file) === (group === 'alone');
const files = (await readdir(TEST_FOLDER, { recursive: true }))
  .filter((file) => file.endsWith('.test.js') && isWanted(file))
  .map((file) => join(TEST_FOLDER, file));
if (group === 'alone' && files.length !== ALONE.size) throw new Error('a listed test is missing');
console.log(files.sort().join('\n'));
