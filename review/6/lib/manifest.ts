/** The service of all cases. */
export const SERVICE = 'wepo4k';

/** Databases by the type of their routes. */
export const DATABASES = { primary: 'prim01', bounded: 'boun02', own: 'ownw03' } as const;

/** A manifest with a route of each type. */
export function createManifest(version: number, syncReplicas: 0 | 1): object {
  const route = (name: string, host: string, type: string, more: object): object => ({
    Name: name,
    Host: host,
    Prefix: '/',
    RouteType: type,
    TimeoutMs: 1_000,
    TargetLatencyMs: 400,
    Priority: 1,
    Service: SERVICE,
    MaxAttempts: 2,
    ...more,
  });
  return {
    Version: version,
    Routes: [
      route('r-1', DATABASES.primary, 'primary', {}),
      route('r-2', DATABASES.bounded, 'bounded_staleness', {
        TimeoutMs: 3_000,
        MaxStalenessMs: 1_500,
      }),
      route('r-3', DATABASES.own, 'read_your_writes', { MaxStalenessMs: 2_500 }),
    ],
    Services: [
      {
        Name: SERVICE,
        HealthPath: '/health',
        MaxConns: 38,
        Protocol: 'h1',
        Tls: false,
        SyncReplicas: syncReplicas,
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 262_144,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
      TxIdleMs: 3_000,
    },
  };
}
