/** Logs the stored objects that cannot be used, once for each change of an object. */
import type { EventLog } from './eventLog.js';

/** Number of objects that are remembered; beyond it, lines may be repeated. */
const MAX_REMEMBERED = 1000;

export class InvalidObjectLog {
  /** What was last logged about each object, by name. */
  private readonly logged = new Map<string, string>();

  constructor(
    private readonly log: EventLog,
    private readonly event: string,
  ) {}

  /** Logs that an object is not used, unless the same was logged for it before. */
  record(name: string, step: string, reason: string, revision?: number): void {
    const entry = `${revision ?? ''} ${reason}`;
    if (this.logged.get(name) === entry) return;
    if (this.logged.size >= MAX_REMEMBERED) this.logged.clear();
    this.logged.set(name, entry);
    this.log.write('warn', this.event, { step, peer: name, reason, revision });
  }
}
