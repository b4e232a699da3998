/** Decides whether a request may enter the mesh: by its key, then by the quota of its account. */
import type { MeshConfig, MeshRoute } from '../model.js';
import type { QuotaClient } from '../quotas/client.js';
import { getRefusalStatus, type AccountGate } from './accountGate.js';
import type { Identity, KeyRefusal } from './authorization.js';

/** Retry time of a request whose key cannot be decided on now, in milliseconds. */
const UNCONFIRMED_RETRY_MS = 300;

export type EntryRefusal =
  | KeyRefusal
  /** The account has used its quota. */
  | 'quota-denied'
  /** No coordinator has answered in time. */
  | 'quota-unknown';

export type EntryDecision =
  /** `identity` is undefined for a request that needs no key. */
  | { readonly kind: 'admitted'; readonly identity: Identity | undefined }
  | {
      readonly kind: 'refused';
      readonly status: 401 | 429 | 503;
      readonly reason: EntryRefusal;
      readonly retryAfterMs: number | undefined;
    };

export interface CallEntryOptions {
  readonly gate: Pick<AccountGate, 'authorize'>;
  readonly quotas: Pick<QuotaClient, 'take' | 'giveBack'>;
}

export class CallEntry {
  constructor(private readonly options: CallEntryOptions) {}

  /**
   * Decides on a request, and takes a token of its account if that has a quota. Call `giveBack` if
   * an admitted request does not run.
   */
  async admit(
    config: MeshConfig,
    route: MeshRoute,
    key: string | undefined,
    requestId: string,
  ): Promise<EntryDecision> {
    const { gate, quotas } = this.options;
    const authorization = gate.authorize(config, route, key, requestId);
    switch (authorization.kind) {
      case 'anonymous':
        return { kind: 'admitted', identity: undefined };
      case 'refused': {
        const { reason } = authorization;
        const status = getRefusalStatus(reason);
        const retryAfterMs = status === 503 ? UNCONFIRMED_RETRY_MS : undefined;
        return { kind: 'refused', status, reason, retryAfterMs };
      }
      case 'account': {
        const { identity } = authorization;
        const quota = await quotas.take(identity.account);
        if (quota.kind === 'granted') return { kind: 'admitted', identity };
        const { retryAfterMs } = quota;
        return quota.kind === 'denied'
          ? { kind: 'refused', status: 429, reason: 'quota-denied', retryAfterMs }
          : { kind: 'refused', status: 503, reason: 'quota-unknown', retryAfterMs };
      }
      default:
        throw new Error(`unknown decision ${JSON.stringify(authorization satisfies never)}`);
    }
  }

  /** Returns the token of a request that has not run and will not run. */
  giveBack(identity: Identity | undefined): void {
    if (identity) this.options.quotas.giveBack(identity.account);
  }
}
