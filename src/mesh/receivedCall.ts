/** Reads the headers of a call from another node, with the time that the call was under way. */
import { checkCallAge, type CallAgeRefusal } from './callAge.js';
import { getHeader } from './headers.js';
import {
  CLOCK_HEADER,
  decodeMetadata,
  decodeSentTime,
  METADATA_HEADER,
  type ReceivedMetadata,
} from './peerMessages.js';

/** A call as it has arrived. */
export interface ReceivedCall extends ReceivedMetadata {
  /** Undefined if the time at which the call was sent is not known. */
  readonly transitMs: number | undefined;
  /** Reason for which the call is not started; undefined if it may be. */
  readonly ageRefusal: CallAgeRefusal | undefined;
}

/** The receiver of a call: its clock, and the header with the identifier of the request. */
export interface CallReceiver {
  readonly clockId: string;
  readonly requestIdHeader: string;
}

/**
 * Returns the call whose headers arrived at `receivedAtMs`; undefined if they are malformed. Its
 * deadline counts from the time at which it was sent, if that is known.
 */
export function readReceivedCall(
  rawHeaders: readonly string[],
  { clockId, requestIdHeader }: CallReceiver,
  receivedAtMs: number,
): ReceivedCall | undefined {
  const sentTime = decodeSentTime(getHeader(rawHeaders, CLOCK_HEADER), clockId, receivedAtMs);
  const sentAtMs = sentTime.kind === 'known' ? sentTime.atMs : undefined;
  const received = decodeMetadata(
    getHeader(rawHeaders, METADATA_HEADER),
    getHeader(rawHeaders, requestIdHeader) ?? '',
    sentAtMs ?? receivedAtMs,
  );
  if (!received) return undefined;
  return {
    ...received,
    transitMs: sentAtMs === undefined ? undefined : receivedAtMs - sentAtMs,
    ageRefusal: checkCallAge(sentTime, receivedAtMs),
  };
}
