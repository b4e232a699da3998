/**
 * Event log: one line of key=value pairs for each event on standard output. Writing never blocks:
 * lines above the rate limit, or when the output buffer is full, are dropped and counted.
 */
import { formatEvent, formatFields, type LogFields } from '../utils/formatEvent.js';

/** Rate limit in lines per second; a node at full load logs less than this. */
const MAX_LINES_PER_S = 300;

/** Limit on bytes that are buffered for a slow reader. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Time for which lines of level `info` wait for others, so that they share a write. */
const FLUSH_INTERVAL_MS = 250;

/** Destination of log lines. */
export interface LogOutput {
  readonly writableLength: number;
  write(text: string): boolean;
}

export interface EventLog {
  write(level: 'info' | 'warn' | 'error', event: string, fields?: LogFields): void;
}

/**
 * Creates a log whose lines all include the fields in `common`, which no event may set. Lines of
 * level `info` are written together; those of other levels at once, after the waiting ones. None
 * waits when the process exits, unless it is killed.
 */
export function createEventLog(common: LogFields, output: LogOutput = process.stdout): EventLog {
  const commonText = formatFields(common);
  let second = 0;
  let lines = 0;
  let dropped = 0;
  let waiting = '';
  let timer: NodeJS.Timeout | undefined;
  const flush = () => {
    clearTimeout(timer);
    timer = undefined;
    if (waiting !== '') output.write(waiting);
    waiting = '';
  };
  process.on('exit', flush);
  return {
    write(level, event, fields = {}) {
      const now = Math.floor(performance.now() / 1000);
      if (now !== second) {
        second = now;
        lines = 0;
      }
      lines += 1;
      if (lines > MAX_LINES_PER_S || output.writableLength > MAX_BUFFERED_BYTES) {
        dropped += 1;
        return;
      }
      const droppedText = dropped === 0 ? '' : ` dropped=${dropped}`;
      dropped = 0;
      waiting += `${formatEvent(level, event, fields, commonText)}${droppedText}\n`;
      if (level === 'info') timer ??= setTimeout(flush, FLUSH_INTERVAL_MS).unref();
      else flush();
    },
  };
}

/** Log that discards all events, for tests. */
export const SILENT_LOG: EventLog = { write: () => {} };
