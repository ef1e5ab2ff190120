/** The direct engine: a daemon that serves its callers over its own connections to the targets. */
export * from './admission';
export * from './configuration';
export { hasSettled, nextMembers, quorumOf } from './confirmers';
export type { ConfirmerSet, KnownSet, MembershipInputs, SettleInputs } from './confirmers';
export * from './connectionShare';
export * from './engine';
export { mayDeny, nextFreshnessStep, provenAtWith } from './freshness';
export type { FreshnessInputs, FreshnessProof, FreshnessStep, ProvenView } from './freshness';
export { mayHoldDiscarded } from './promotionHistory';
export type { KnownHistory } from './promotionHistory';
export { chooseCandidate, findPromotionReason, promotionDelayMs } from './promotionPolicy';
export type { CandidatePreference, PrimaryHealth, PromotionCandidate } from './promotionPolicy';
export type {
  GroupLeadership,
  GroupLoads,
  GroupToken,
  ListedDaemon,
  NewerConfig,
  PeerReport,
  PeerSample,
  PrimaryOpinion,
  SampleReply,
  SampleRequest,
  TargetLoads,
} from './peerReport';
export { isConfirmer, orderProgress } from './fencing';
export * from './leadership';
export type {
  ClaimBasis,
  PromotionOrder,
  PromotionReason,
  PromotionResult,
  StoredClaim,
} from './promotionTypes';
export type { DirectLogEvent } from './logEvents';
export * from './placement';
export { rankPoolOwners } from './poolOwners';
export { remainingWaitMs } from './primaryWait';
export * from './quotas/index';
export * from './sampleHistory';
export { samplersOf } from './samplers';
export { mustSaveTargets, targetsToSave } from './savedTargets';
export type { SaveInputs } from './savedTargets';
export * from './settings';
export { decideStartup } from './startup';
export type { StartupInputs, StartupStep } from './startup';
export * from './statements';
export { digestKey, findTenant, resolveIdentity } from './tenants';
export type { Identity, KeyDigest, Tenant, TenantDirectory, TenantName } from './tenants';
export { chooseViewSources } from './viewSources';
export type { ChosenSources, ViewSource } from './viewSources';
export * from './watchers';
export type { ConnectionId, EngineIo, LeaseTerms, PoolLoad } from './engineIo';
export type { World } from './tables';
