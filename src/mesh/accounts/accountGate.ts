/** Decides on the keys of requests by the configuration in force, and records what it refuses. */
import type { EventLog } from '../eventLog.js';
import type { KindPosition } from '../kindPosition.js';
import type { MeshMetrics } from '../meshMetrics.js';
import type { MeshConfig, MeshRoute, RevocationPolicy } from '../model.js';
import {
  authorize,
  reauthorize,
  type Authorization,
  type AuthorizationContext,
  type Identity,
  type KeyRefusal,
} from './authorization.js';

export interface AccountGateOptions {
  readonly getPolicy: () => RevocationPolicy | undefined;
  readonly getConfig: () => MeshConfig | undefined;
  /** Position in the changes of the configuration, whose evidence has an age. */
  readonly position: Pick<KindPosition, 'getUnconfirmedMs'>;
  readonly log: EventLog;
  readonly metrics: MeshMetrics;
}

/** Largest age that is logged, in milliseconds; evidence that was never there has none. */
const MAX_LOGGED_AGE_MS = 99_999;

/** Returns the status of a refused request: 503 promises that it has not run. */
export function getRefusalStatus(reason: KeyRefusal): 401 | 503 {
  switch (reason) {
    case 'key-missing':
    case 'key-unknown':
      return 401;
    case 'config-unconfirmed':
      return 503;
    default:
      throw new Error(`unknown reason ${JSON.stringify(reason satisfies never)}`);
  }
}

/** Applies `authorization.ts` to the configuration in force and the age of its evidence. */
export class AccountGate {
  constructor(private readonly options: AccountGateOptions) {}

  /** Decides on a request that enters with `key`. */
  authorize(
    config: MeshConfig,
    route: MeshRoute,
    key: string | undefined,
    requestId: string,
  ): Authorization {
    const context = this.buildContext(config);
    const decision = authorize(route, key, context);
    if (decision.kind === 'refused') this.recordRefusal(decision.reason, requestId, context);
    return decision;
  }

  /** Decides again on a request that is about to be sent to an instance. */
  reauthorize(identity: Identity, requestId: string): Authorization {
    const config = this.options.getConfig();
    if (!config) return { kind: 'refused', reason: 'config-unconfirmed' };
    const context = this.buildContext(config);
    const decision = reauthorize(identity, context);
    if (decision.kind === 'refused') this.recordRefusal(decision.reason, requestId, context);
    return decision;
  }

  private buildContext(config: MeshConfig): AuthorizationContext {
    const { getPolicy, position } = this.options;
    const nowMs = performance.now();
    return {
      config,
      policy: getPolicy(),
      evidenceAgeMs: position.getUnconfirmedMs(nowMs),
      nowMs,
    };
  }

  private recordRefusal(
    reason: KeyRefusal,
    request: string,
    { config, evidenceAgeMs }: AuthorizationContext,
  ): void {
    const { log, metrics } = this.options;
    metrics.count('keys_refused', `reason="${reason}"`);
    log.write('info', 'key-refused', {
      request,
      reason,
      evidenceMs: Math.round(Math.min(MAX_LOGGED_AGE_MS, evidenceAgeMs)),
      config: config.version,
    });
  }
}
