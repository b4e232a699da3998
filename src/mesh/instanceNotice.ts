/** What an instance says about itself in the headers of its responses. */
import { isAmount } from '../utils/boundedValues.js';
import { getHeader, type HeaderNames } from './headers.js';

/** Limit on the requests that an instance gets, as a response states it. */
export type NamedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'named'; readonly requestsPerS: number }
  | { readonly kind: 'invalid'; readonly text: string };

export interface InstanceNotice {
  readonly limit: NamedLimit;
  /** True when the instance is about to shut down. */
  readonly isLeaving: boolean;
}

const LEAVING_VALUE = '1';

function parseLimit(text: string | undefined): NamedLimit {
  if (text === undefined) return { kind: 'none' };
  if (!/^\d+(\.\d+)?$/.test(text.trim())) return { kind: 'invalid', text };
  const requestsPerS = Number(text);
  return isAmount(requestsPerS) ? { kind: 'named', requestsPerS } : { kind: 'invalid', text };
}

/** Reads the notice of an instance from the headers of its response. */
export function readInstanceNotice(headers: readonly string[], names: HeaderNames): InstanceNotice {
  return {
    limit: parseLimit(getHeader(headers, names.requestLimit)),
    isLeaving: getHeader(headers, names.leaving)?.trim() === LEAVING_VALUE,
  };
}
