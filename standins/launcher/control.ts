/** HTTP requests to the control resources of the processes of a mesh. */
import { request } from 'undici';
import { buildError } from '../../src/errors.js';

const RESPONSE_TIMEOUT_MS = 5_000;

/** Sends a GET, or a PUT if there is a body, for a JSON resource; throws on any status but 200. */
export async function requestJson<Value>(url: string, body?: object): Promise<Value> {
  const response = await request(url, {
    method: body === undefined ? 'GET' : 'PUT',
    body: body === undefined ? undefined : JSON.stringify(body),
    signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) {
    throw buildError('refused', 'control', url, `status ${response.statusCode}: ${text}`);
  }
  return JSON.parse(text) as Value;
}

/** Returns the status code of a GET; 0 if there is no response. */
export async function requestStatus(url: string): Promise<number> {
  try {
    const response = await request(url, { signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) });
    await response.body.dump();
    return response.statusCode;
  } catch {
    return 0;
  }
}
