/** Starts to observe the calls of other nodes as they arrive. */
import type { CallMetadata } from './model.js';
import { RunTrace, type RunTraceOptions } from './runTrace.js';

export class CallMonitor {
  constructor(private readonly options: RunTraceOptions) {}

  /** Starts to observe a call; `transitMs` is undefined if its time in transit is not known. */
  createTrace(metadata: CallMetadata, transitMs: number | undefined): RunTrace {
    return new RunTrace(this.options, metadata, transitMs);
  }
}
