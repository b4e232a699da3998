/** Faulty responses, whole, broken, doubled or foreign, for upstreams and nodes on bare sockets. */
import type { Socket } from 'node:net';

/** What a server does with one request. */
export const BEHAVIOURS = [
  'answer',
  'answerWithoutId',
  'answerInChunks',
  'answerAfterHints',
  'answerTwice',
  'answerWithRest',
  'answerOther',
  'breakHead',
  'breakBody',
  'breakChunks',
  'shedWithProof',
  'shedWithoutId',
  'close',
  'reset',
] as const;
export type Behaviour = (typeof BEHAVIOURS)[number];

/** Body of the response to a request. */
export const buildBody = (id: string) => `${id} ${'x'.repeat(200)}`;

function formatAnswer(id: string, status: string, body: string, extra: readonly string[]): string {
  const lines = [`HTTP/1.1 ${status}`, ...extra, `content-length: ${body.length}`, '', body];
  return lines.join('\r\n');
}

function formatChunks(id: string): string {
  const body = buildBody(id);
  const head = ['HTTP/1.1 200 OK', `lycheelane-request: ${id}`, 'transfer-encoding: chunked', ''];
  return [...head, body.length.toString(16), body, '0', '', ''].join('\r\n');
}

/** Responds to the request with the id as the behaviour says. */
export function respond(socket: Socket, id: string, behaviour: Behaviour): void {
  const named = [`lycheelane-request: ${id}`];
  const whole = formatAnswer(id, '200 OK', buildBody(id), named);
  const proof = 'lycheelane-outcome: not-run';
  switch (behaviour) {
    case 'answer':
      socket.write(whole);
      return;
    case 'answerWithoutId':
      socket.write(formatAnswer(id, '200 OK', buildBody(id), []));
      return;
    case 'answerInChunks':
      socket.write(formatChunks(id));
      return;
    case 'answerAfterHints':
      socket.write(`HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${whole}`);
      return;
    case 'answerTwice':
      socket.write(whole);
      setTimeout(() => socket.write(whole), 2);
      return;
    case 'answerWithRest':
      socket.write(`${whole}rest`);
      return;
    case 'answerOther':
      socket.write(formatAnswer(id, '200 OK', buildBody('other'), ['lycheelane-request: other']));
      return;
    case 'breakHead':
      socket.end(whole.slice(0, 30));
      return;
    case 'breakBody':
      socket.end(whole.slice(0, -20));
      return;
    case 'breakChunks':
      socket.end(formatChunks(id).slice(0, -20));
      return;
    case 'shedWithProof':
      socket.write(formatAnswer(id, '503 Busy', '', [...named, proof]));
      return;
    case 'shedWithoutId':
      socket.write(formatAnswer(id, '503 Busy', '', [proof]));
      return;
    case 'close':
      socket.end();
      return;
    case 'reset':
      socket.resetAndDestroy();
      return;
    default:
      behaviour satisfies never;
  }
}
