/** Options of an upstream stand-in. */
export interface UpstreamOptions {
  readonly service: string;
  readonly instanceId: string;
  readonly host?: string;
  /** 0 picks a free port. */
  readonly port?: number;
  readonly slots: number;
  /** Mean work time of a request, drawn from an exponential distribution, in milliseconds. */
  readonly workMs: number;
  /** Time in state `starting`, in milliseconds. */
  readonly startMs?: number;
  /** Time after the start over which requests take up to three times as long, in milliseconds. */
  readonly coldStartMs?: number;
  readonly seed: number;
  /** Address of the node's announce port; no announcements when absent. */
  readonly announceUrl?: string;
  readonly announceIntervalMs?: number;
  /** Address of the own node's call port, for nested calls. */
  readonly callUrl?: string;
  /** File to which each run is appended. */
  readonly runLog?: string;
}
