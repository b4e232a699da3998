/** Control resources of the processes of a mesh, over HTTP. */
import { request } from 'undici';
import { buildError } from '../../src/errors.js';

const ANSWER_TIMEOUT_MS = 5_000;

/** Reads or writes a JSON resource; any status but 200 is an error. */
export async function requestJson<Value>(url: string, change?: object): Promise<Value> {
  const answer = await request(url, {
    method: change === undefined ? 'GET' : 'PUT',
    body: change === undefined ? undefined : JSON.stringify(change),
    signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) {
    throw buildError('refused', 'control', url, `status ${answer.statusCode}: ${text}`);
  }
  return JSON.parse(text) as Value;
}

/** Returns the status of a GET; 0 when there is no response. */
export async function requestStatus(url: string): Promise<number> {
  try {
    const answer = await request(url, { signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    return 0;
  }
}
