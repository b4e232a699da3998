/** Decides whether a request may enter the mesh: by its key, then by the quota of its account. */
import type { MeshConfig, MeshRoute } from '../model.js';
import type { QuotaClient, QuotaRefusal } from '../quotas/client.js';
import type { Cancellation } from '../signal.js';
import { getRefusalStatus, type AccountGate } from './accountGate.js';
import type { Identity, KeyRefusal } from './authorization.js';

/** Retry time of a request whose key cannot be decided on now, in milliseconds. */
const UNCONFIRMED_RETRY_MS = 300;

/** Time over which callers return to a node that its coordinator has begun to count. */
const RETURN_SPREAD_MS = 800;

/** Why a request was refused at its entry. */
export type EntryRefusalReason =
  | KeyRefusal
  /** The account has used its quota. */
  | 'quota-denied'
  /** No coordinator has answered in time. */
  | 'quota-unknown';

/** Response to a request that does not enter; it has not run. */
export interface EntryRefusal {
  readonly kind: 'refused';
  readonly status: 401 | 429 | 503;
  readonly reason: EntryRefusalReason;
  readonly retryAfterMs: number | undefined;
}

/** Decision before the body of a request is read. */
export type EntryDecision =
  /** `identity` is undefined for a request that needs no key. */
  { readonly kind: 'admitted'; readonly identity: Identity | undefined } | EntryRefusal;

export interface CallEntryOptions {
  readonly gate: Pick<AccountGate, 'authorize'>;
  readonly quotas: Pick<QuotaClient, 'refuseDenied' | 'take' | 'returnToken'>;
  /** Returns the time until the coordinator of the quotas counts this node, in milliseconds. */
  readonly getUncountedMs: () => number;
  readonly random?: () => number;
}

/** Checks in two steps: `admit` before the body of a request is read, `takeToken` after it. */
export class CallEntry {
  constructor(private readonly options: CallEntryOptions) {}

  /** Decides on a request before its body is read. Call `takeToken` once it has come. */
  admit(
    config: MeshConfig,
    route: MeshRoute,
    key: string | undefined,
    requestId: string,
  ): EntryDecision {
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
        const quota = quotas.refuseDenied(identity.account);
        return quota ? this.buildRefusal(quota) : { kind: 'admitted', identity };
      }
      default:
        throw new Error(`unknown decision ${JSON.stringify(authorization satisfies never)}`);
    }
  }

  /**
   * Takes a token for an admitted request whose body has come; returns a refusal without one. A
   * token that is taken earlier would let requests run whose bodies were held back for later
   * windows. Call `returnToken` if the request does not run.
   */
  async takeToken(
    identity: Identity | undefined,
    cancellation: Cancellation,
  ): Promise<EntryRefusal | undefined> {
    if (!identity) return undefined;
    const quota = await this.options.quotas.take(identity.account, cancellation);
    return quota.kind === 'granted' ? undefined : this.buildRefusal(quota);
  }

  /** Returns the token of a request that has not run and will not run. */
  returnToken(identity: Identity | undefined): void {
    if (identity) this.options.quotas.returnToken(identity.account);
  }

  /**
   * A node that its coordinator does not count yet gets no tokens, whether the account has used its
   * quota or not. Its callers come back after that, over the time in which the buckets fill.
   */
  private buildRefusal({ kind, retryAfterMs }: QuotaRefusal): EntryRefusal {
    const { getUncountedMs, random = Math.random } = this.options;
    const uncountedMs = getUncountedMs();
    if (uncountedMs > 0) {
      const spreadMs = uncountedMs + random() * RETURN_SPREAD_MS;
      return { kind: 'refused', status: 503, reason: 'quota-unknown', retryAfterMs: spreadMs };
    }
    return kind === 'denied'
      ? { kind: 'refused', status: 429, reason: 'quota-denied', retryAfterMs }
      : { kind: 'refused', status: 503, reason: 'quota-unknown', retryAfterMs };
  }
}
