/**
 * Limits how many instances a call is offered to after one has refused it for lack of room. It
 * performs no I/O and reads no clock.
 *
 * It is designed for a service that is overloaded as a whole. There each further offer ends in
 * another refusal, and the messages take the processor time of the hosts that the answered calls
 * need. While some instances have room, calls are offered on as before.
 *
 * A token bucket for each service and route, as in the retry throttling of gRPC (proposal A6): a
 * refusal takes a token, an accepted call returns a share of one, and calls are offered on while
 * more than half of the tokens are there.
 */
import type { RouteName, ServiceName } from '../types/ids.js';
import { evictMissing } from '../utils/evictMissing.js';
import type { RunResult } from './model.js';
import { isRoomRefusal } from './refusalReason.js';

const MAX_TOKENS = 20;

/** Tokens that an accepted call returns; refusals beyond this share of the accepted calls count. */
const TOKENS_PER_ACCEPTED_CALL = 0.5;

export class OverloadThrottle {
  private readonly tokens = new Map<ServiceName, Map<RouteName, number>>();

  /** Records the result of offering a call to an instance. */
  record(service: ServiceName, route: RouteName, result: RunResult): void {
    const isRefused = result.kind === 'notRun';
    if (isRefused && !isRoomRefusal(result.reason)) return;
    const change = isRefused ? -1 : TOKENS_PER_ACCEPTED_CALL;
    const tokens = this.getTokens(service, route) + change;
    const ofService = this.tokens.get(service) ?? new Map<RouteName, number>();
    ofService.set(route, Math.min(MAX_TOKENS, Math.max(0, tokens)));
    this.tokens.set(service, ofService);
  }

  /** Returns true when a call that an instance has refused may be offered to another one. */
  canOfferAgain(service: ServiceName, route: RouteName): boolean {
    return this.getTokens(service, route) > MAX_TOKENS / 2;
  }

  /** Forgets the routes that no longer exist. */
  evictRoutes(routeNames: ReadonlySet<string>): void {
    for (const ofService of this.tokens.values()) evictMissing(ofService, routeNames);
  }

  private getTokens(service: ServiceName, route: RouteName): number {
    return this.tokens.get(service)?.get(route) ?? MAX_TOKENS;
  }
}
