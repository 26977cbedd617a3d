/** A configuration like that of the site file of Sava, with one route of each kind. */

export const KEY = 'n2ctnfzs989anu6wsjnb';

/** Builds a version of the configuration. */
export function configuration({ version = 1, reserved = 2_175_191 } = {}) {
  const common = { Host: 'review.example', Public: false };
  return {
    Version: version,
    Routes: [
      {
        ...common,
        Name: 'r-draft',
        PathPrefix: '/draft/',
        Type: 'streaming',
        TimeoutMs: 15_000,
        TargetLatencyMs: 800,
        TargetGapMs: 400,
        Priority: 1,
        Service: 'pool',
        MaxAttempts: 1,
        SessionAffinity: true,
        StreamResume: false,
      },
      {
        ...common,
        Name: 'r-query',
        PathPrefix: '/query/',
        Type: 'streaming',
        TimeoutMs: 12_000,
        TargetLatencyMs: 400,
        TargetGapMs: 400,
        Priority: 0,
        Service: 'pool',
        MaxAttempts: 2,
        SessionAffinity: true,
        StreamResume: true,
      },
      {
        ...common,
        Name: 'r-charge',
        PathPrefix: '/charge/',
        Type: 'unsafe',
        TimeoutMs: 15_000,
        TargetLatencyMs: 121,
        Priority: 2,
        Service: 'desk',
        MaxAttempts: 2,
        SessionAffinity: false,
        StreamResume: false,
      },
      {
        ...common,
        Name: 'r-lookup',
        PathPrefix: '/lookup/',
        Type: 'safe',
        TimeoutMs: 15_000,
        TargetLatencyMs: 121,
        Priority: 2,
        Service: 'desk',
        MaxAttempts: 2,
        SessionAffinity: false,
        StreamResume: false,
      },
    ],
    Services: [
      {
        Name: 'pool',
        HealthCheckPath: '/healthz',
        MaxConnections: 360,
        Protocol: 'h1',
        Tls: false,
        Runtime: { Capacity: 64, KvCapacityTokens: 464_366, Stride: 6, ModelList: [{ Name: 'm' }] },
      },
      {
        Name: 'desk',
        HealthCheckPath: '/healthz',
        MaxConnections: 100,
        Protocol: 'h1',
        Tls: false,
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: 'hule930', ApiKeys: [KEY], Priority: 1, Reserved: reserved }],
  };
}
