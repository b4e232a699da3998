/** Parses the URL, method and write condition of a request to the platform stand-in. */
import type { IncomingMessage } from 'node:http';
import type { CallKind } from './counters.js';
import type { Condition } from './store.js';

/** Resource that a request addresses. */
export type Target =
  | { readonly area: 'object'; readonly kind: string; readonly name: string }
  | { readonly area: 'list'; readonly kind: string }
  | {
      readonly area: 'watch';
      readonly kind: string;
      readonly name: string;
      readonly query: URLSearchParams;
    };

const SEGMENT = /^[A-Za-z0-9._-]{1,200}$/;

/** Parses the URL of a request; undefined when the API has no such resource. */
export function parseTarget(rawUrl: string): Target | undefined {
  const url = new URL(rawUrl, 'http://platform');
  const [api, area, kind, name, ...rest] = url.pathname.slice(1).split('/');
  if (api !== 'v1' || rest.length > 0 || kind === undefined || !SEGMENT.test(kind)) {
    return undefined;
  }
  if (area === 'objects' && name === undefined) return { area: 'list', kind };
  if (name === undefined || !SEGMENT.test(name)) return undefined;
  if (area === 'objects') return { area: 'object', kind, name };
  if (area === 'watch') return { area: 'watch', kind, name, query: url.searchParams };
  return undefined;
}

/** Parses the write condition; the server responds 428 to `missing` and 400 to `invalid`. */
export function parseCondition(request: IncomingMessage): Condition | 'missing' | 'invalid' {
  const match = request.headers['if-match'];
  const noneMatch = request.headers['if-none-match'];
  if (match === undefined && noneMatch === undefined) return 'missing';
  if (match !== undefined && noneMatch !== undefined) return 'invalid';
  if (noneMatch !== undefined) return noneMatch === '*' ? { kind: 'absent' } : 'invalid';
  const version = /^"(\d{1,15})"$/.exec(match ?? '')?.[1];
  return version === undefined ? 'invalid' : { kind: 'version', version: Number(version) };
}

/** Returns the kind under which a request is counted; undefined when the method is not allowed. */
export function chooseCallKind(target: Target, request: IncomingMessage): CallKind | undefined {
  if (target.area === 'list') return request.method === 'GET' ? 'list' : undefined;
  if (target.area === 'watch') return request.method === 'GET' ? 'watch' : undefined;
  if (request.method === 'GET') return 'read';
  if (request.method === 'DELETE') return 'remove';
  if (request.method !== 'PUT') return undefined;
  return request.headers['if-none-match'] === undefined ? 'update' : 'create';
}
