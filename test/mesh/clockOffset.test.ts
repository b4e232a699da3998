/** Clocks of other processes: a message never seems older than it is, whatever the clocks do. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClockOffset } from '../../src/mesh/clockOffset.js';
import {
  decodeClockReading,
  decodeSentTime,
  encodeClockReading,
  encodeSentTime,
} from '../../src/mesh/peerMessages.js';
import { SuspensionDetector } from '../../src/mesh/suspensionDetector.js';

/** Drift that the estimate allows for, in milliseconds. */
const MAX_DRIFT_MS = 10;

/** Two processes whose clocks differ, and the time of day of the first one. */
class Clocks {
  nowMs = 1000;

  /** Amount by which the other clock is ahead. */
  offsetMs = 500_000;

  suspendedMs = 0;

  private readonly detector = new SuspensionDetector(
    () => 1e12 + this.nowMs + this.suspendedMs,
    () => this.nowMs,
  );

  readonly offset = new ClockOffset(this.detector);

  /** Plays an exchange whose request and response take the given times. */
  exchange(requestMs: number, responseMs: number, clockId = 'p-1'): void {
    const sentAtMs = this.nowMs;
    this.offset.convert(sentAtMs);
    this.nowMs += requestMs;
    const receivedAtMs = this.nowMs + this.offsetMs;
    this.nowMs += responseMs;
    const reading = { clockId, receivedAtMs, respondedAtMs: receivedAtMs };
    this.offset.record(reading, sentAtMs, this.nowMs);
  }

  /** Returns the age that a message has for its receiver when it was under way for `transitMs`. */
  measureAge(transitMs: number): number | undefined {
    const sent = this.offset.convert(this.nowMs);
    return sent && this.nowMs + transitMs + this.offsetMs - sent.atMs;
  }
}

test('the clock of another process is unknown before the first exchange', () => {
  assert.equal(new Clocks().measureAge(5), undefined);
});

test('a message that was held up is known to be old, whatever the earlier responses took', () => {
  const clocks = new Clocks();
  clocks.exchange(3, 900);
  clocks.exchange(2, 40);
  clocks.exchange(700, 1);
  const ageMs = clocks.measureAge(1500)!;
  assert.ok(ageMs <= 1500, `not older than it is: ${ageMs}`);
  assert.ok(ageMs >= 1500 - 2 - MAX_DRIFT_MS, `known up to the shortest way: ${ageMs}`);
});

test('an exchange that was held up itself does not tell the clock', () => {
  const clocks = new Clocks();
  clocks.exchange(1500, 1);
  assert.equal(clocks.measureAge(1500), undefined);
  clocks.exchange(2, 1);
  assert.ok(clocks.measureAge(1500)! >= 1500 - 2 - MAX_DRIFT_MS);
});

test('a message is not taken for old after the own process stood still', () => {
  const clocks = new Clocks();
  clocks.exchange(1, 1);
  clocks.suspendedMs += 2000;
  clocks.offsetMs += 2000;
  assert.equal(clocks.measureAge(1), undefined);
  clocks.exchange(1, 1);
  assert.ok(clocks.measureAge(1)! <= 1);
});

test('an exchange during which the own process stood still is not used', () => {
  const clocks = new Clocks();
  clocks.exchange(1, 1);
  const sentAtMs = clocks.nowMs;
  clocks.offset.convert(sentAtMs);
  const receivedAtMs = sentAtMs + clocks.offsetMs + 1;
  clocks.suspendedMs += 3000;
  clocks.offsetMs += 3000;
  const reading = { clockId: 'p-1', receivedAtMs, respondedAtMs: receivedAtMs };
  clocks.offset.record(reading, sentAtMs, clocks.nowMs + 2);
  assert.equal(clocks.measureAge(1), undefined);
});

test('a jump of the other clock that nobody noticed is found by the next exchange', () => {
  const clocks = new Clocks();
  clocks.exchange(1, 1);
  clocks.offsetMs += 5000;
  clocks.exchange(1, 1);
  assert.ok(clocks.measureAge(1)! <= 1);
  clocks.offsetMs -= 5000;
  clocks.exchange(1, 1);
  const ageMs = clocks.measureAge(400)!;
  assert.ok(ageMs <= 400 && ageMs >= 400 - 1 - MAX_DRIFT_MS, `${ageMs}`);
});

test('the clock of a restarted process replaces that of the one before', () => {
  const clocks = new Clocks();
  clocks.exchange(1, 1);
  clocks.offsetMs = -800_000;
  clocks.exchange(1, 1, 'p-2');
  assert.equal(clocks.offset.convert(clocks.nowMs)?.clockId, 'p-2');
  assert.ok(clocks.measureAge(1)! <= 1);
});

test('a bound is not used after clocks may have drifted apart', () => {
  const clocks = new Clocks();
  clocks.exchange(1, 1);
  clocks.nowMs += 61_000;
  assert.equal(clocks.measureAge(1), undefined);
});

test('a step of the time of day backwards does not count as a suspension', () => {
  let wallMs = 1e12;
  let steadyMs = 0;
  const detector = new SuspensionDetector(
    () => wallMs,
    () => steadyMs,
  );
  wallMs -= 60_000;
  steadyMs += 10;
  assert.equal(detector.count(), 0);
  wallMs += 10_000;
  steadyMs += 9_950;
  assert.equal(detector.count(), 0);
  wallMs += 5000;
  assert.equal(detector.count(), 1);
});

test('clocks survive the way over the wire', () => {
  const reading = { clockId: 'p-1', receivedAtMs: 12.3, respondedAtMs: 45.6 };
  assert.deepEqual(decodeClockReading(encodeClockReading(reading)), reading);
  const text = encodeSentTime({ clockId: 'p-1', atMs: 99.5 });
  assert.deepEqual(decodeSentTime(text, 'p-1', 100), { kind: 'known', atMs: 99.5 });
});

const SENT_TIMES: readonly (readonly [text: string | undefined, kind: string])[] = [
  [undefined, 'unsupported'],
  [encodeSentTime(undefined), 'unknown'],
  ['p-2:99.5', 'unknown'],
  ['p-1:', 'unknown'],
  ['p-1:1e308', 'unknown'],
  ['p-1:NaN', 'unknown'],
  ['p-1:-5.0', 'known'],
  ['p-1:250.0', 'known'],
];
for (const [text, kind] of SENT_TIMES) {
  test(`the sent time ${text} is ${kind}, and not after the arrival`, () => {
    const sent = decodeSentTime(text, 'p-1', 100);
    assert.equal(sent.kind, kind);
    if (sent.kind === 'known') assert.ok(sent.atMs <= 100);
  });
}

for (const text of [
  undefined,
  '',
  'p-1',
  'p-1:1',
  'p-1:1:x',
  'p-1:-1:2',
  `p-1:${'9'.repeat(40)}:1`,
]) {
  test(`the clock ${text?.slice(0, 20)} of a response is not used`, () => {
    assert.equal(decodeClockReading(text), undefined);
  });
}
