/** Log lines about the limits that an instance names. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LimitMonitor } from '../../src/mesh/limitMonitor.js';

test('a limit that cannot be read is logged once per second, not for each response', () => {
  const lines: string[] = [];
  const monitor = new LimitMonitor({ write: (_level, event) => lines.push(event) });
  for (let nowMs = 0; nowMs < 2000; nowMs += 10) {
    monitor.recordLimit({ kind: 'invalid', text: 'many' }, nowMs);
  }
  assert.deepEqual(lines, ['instance-limit-invalid', 'instance-limit-invalid']);
});
