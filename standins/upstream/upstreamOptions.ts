/** Options of an upstream stand-in. */
export interface UpstreamOptions {
  readonly service: string;
  readonly instanceId: string;
  readonly host?: string;
  /** 0 selects a free port. */
  readonly port?: number;
  readonly slots: number;
  /** Mean execution time of a request, exponentially distributed, in milliseconds. */
  readonly workMs: number;
  /** Duration of the state `starting`, in milliseconds. */
  readonly startMs?: number;
  /** Warm-up time, in which requests take up to three times as long, in milliseconds. */
  readonly coldStartMs?: number;
  readonly seed: number;
  /** Address of the node's announcement port; without it the upstream is not announced. */
  readonly announceUrl?: string;
  readonly announceIntervalMs?: number;
  /** Address of the local node's call port, for nested calls. */
  readonly callUrl?: string;
  /** File to which each run is appended. */
  readonly runLog?: string;
}
