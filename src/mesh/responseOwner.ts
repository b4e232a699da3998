/** Decides whether a response of an instance belongs to the request that waits for it. */

/** `unproven` is a response that may be an earlier one, written again. */
export type ResponseOwner = 'own' | 'other' | 'unproven';

/**
 * Classifies a response by the identifier that it echoes. Without one, only the first response on a
 * connection that carried no other request cannot be an earlier one.
 */
export function classifyOwner(
  echoedId: string | undefined,
  requestId: string,
  isFirstOnConnection: boolean,
): ResponseOwner {
  if (echoedId !== undefined) return echoedId === requestId ? 'own' : 'other';
  return isFirstOnConnection ? 'own' : 'unproven';
}
