/** Configuration object of the store, built from the routes of a test. */
/** Timeout of a route that sets none. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 1500;
const DEFAULT_TARGET_LATENCY_MS = 500;
const DEFAULT_PRIORITY = 1;
const DEFAULT_MAX_ATTEMPTS = 2;
const DEFAULT_SERVICE = 'pads';
const LIMITS_SPEC = {
  MaxHeaderBytes: 16384,
  MaxBodyBytes: 65536,
  HeaderTimeout: '3000ms',
  IdleTimeout: '15000ms',
};

/** Path at which the instances of the stand-in answer health checks. */
export const HEALTH_PATH = '/healthz';

/** Route definition of a test. */
export interface FleetRoute {
  readonly prefix: string;
  readonly service?: string;
  readonly backends?: readonly { readonly Service: string; readonly Weight: number }[];
  readonly kind?: 'safe' | 'unsafe' | 'upload';
  readonly timeoutMs?: number;
  readonly objectiveMs?: number;
  readonly attempts?: number;
  readonly priority?: number;
  readonly isAnonymous?: boolean;
}

/** Client account of a test. */
export interface FleetAccount {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority?: number;
  readonly ratePerS?: number;
  readonly burst?: number;
}

function listServices({ backends, service }: FleetRoute): readonly string[] {
  return backends ? backends.map(({ Service }) => Service) : [service ?? DEFAULT_SERVICE];
}

/** Builds the value of the `config/main` object. */
export function buildConfiguration(
  version: number,
  routes: readonly FleetRoute[],
  maxBodyBytes = LIMITS_SPEC.MaxBodyBytes,
  accounts: readonly FleetAccount[] = [],
): object {
  const services = new Set(routes.flatMap(listServices));
  return {
    Version: version.toString(16).padStart(8, '0'),
    Resources: [
      ...routes.map((route, index) => ({
        EntryKind: 'Routes',
        Metadata: { Name: `r-${index}` },
        Spec: {
          Host: 'mesh.example',
          PathPrefix: route.prefix,
          Kind: route.kind ?? 'safe',
          Timeout: `${route.timeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS}ms`,
          TargetLatency: `${route.objectiveMs ?? DEFAULT_TARGET_LATENCY_MS}ms`,
          Priority: route.priority ?? DEFAULT_PRIORITY,
          MaxAttempts: route.attempts ?? DEFAULT_MAX_ATTEMPTS,
          ...(route.isAnonymous === undefined ? {} : { AllowAnonymous: route.isAnonymous }),
          ...(route.backends
            ? { Backends: route.backends }
            : { Service: route.service ?? DEFAULT_SERVICE }),
        },
      })),
      ...[...services].map((service) => ({
        EntryKind: 'Services',
        Metadata: { Name: service },
        Spec: { HealthPath: HEALTH_PATH },
      })),
      ...accounts.map(({ name, keys, priority, ratePerS, burst }) => ({
        EntryKind: 'Tenants',
        Metadata: { Name: name },
        Spec: { ApiKeys: keys, Priority: priority, RatePerS: ratePerS, Burst: burst },
      })),
      {
        EntryKind: 'Limits',
        Metadata: {},
        Spec: { ...LIMITS_SPEC, MaxBodyBytes: maxBodyBytes },
      },
    ],
  };
}
