/** Caps of the tenants over all daemons. */
export { findFast, rankHomes, sliceOf, SLICES } from './homes';
export type { HomeTable } from './homes';
export type { HomeStamp, QuotaMessage, TokenGrant, TokenWant } from './quotaMessages';
export { createQuotas } from './quotas';
export type { QuotaFleet, Quotas, QuotasOptions, TenantUse } from './quotas';
export type { QuotaDecision, RefusalReason } from './tenantRows';
