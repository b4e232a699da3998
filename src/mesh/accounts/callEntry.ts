/** Decides whether a request may enter the mesh: by its key, then by the quota of its account. */
import type { MeshConfig, MeshRoute } from '../model.js';
import type { QuotaClient, QuotaRefusal } from '../quotas/client.js';
import type { Cancellation } from '../signal.js';
import { getRefusalStatus, type AccountGate } from './accountGate.js';
import type { Identity, KeyRefusal } from './authorization.js';

/** Retry time of a request whose key cannot be decided on now, in milliseconds. */
const UNCONFIRMED_RETRY_MS = 300;

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
}

function toRefusal({ kind, retryAfterMs }: QuotaRefusal): EntryRefusal {
  return kind === 'denied'
    ? { kind: 'refused', status: 429, reason: 'quota-denied', retryAfterMs }
    : { kind: 'refused', status: 503, reason: 'quota-unknown', retryAfterMs };
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
        return quota ? toRefusal(quota) : { kind: 'admitted', identity };
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
    return quota.kind === 'granted' ? undefined : toRefusal(quota);
  }

  /** Returns the token of a request that has not run and will not run. */
  returnToken(identity: Identity | undefined): void {
    if (identity) this.options.quotas.returnToken(identity.account);
  }
}
