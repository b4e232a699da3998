/**
 * Log of the mesh: one line of key=value pairs for each event on standard output. It never waits
 * for its reader: lines beyond a rate, or behind a full pipe, are dropped and counted.
 */
import { formatEvent, type LogFields } from '../utils/formatEvent.js';

/** Lines in each second; the decisions of a node at its full load stay below it. */
const MAX_LINES_PER_S = 300;

/** Bytes that may wait for a slow reader. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Where lines go. */
export interface LogOutput {
  readonly writableLength: number;
  write(text: string): boolean;
}

/** Writes events. */
export interface EventLog {
  write(level: 'info' | 'warn' | 'error', event: string, fields?: LogFields): void;
}

/** Creates a log whose lines all carry `common`. */
export function createEventLog(common: LogFields, output: LogOutput = process.stdout): EventLog {
  let second = 0;
  let lines = 0;
  let dropped = 0;
  return {
    write(level, event, fields = {}) {
      const now = Math.floor(performance.now() / 1000);
      if (now !== second) {
        second = now;
        lines = 0;
      }
      lines += 1;
      if (lines > MAX_LINES_PER_S || output.writableLength > MAX_WAITING_BYTES) {
        dropped += 1;
        return;
      }
      const lost = dropped === 0 ? undefined : dropped;
      dropped = 0;
      output.write(`${formatEvent(level, event, { ...common, ...fields, dropped: lost })}\n`);
    },
  };
}

/** A log that writes nothing, for tests. */
export const SILENT_LOG: EventLog = { write: () => {} };
