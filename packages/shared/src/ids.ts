/** Identifies one instance that runs a daemon. */
export type InstanceId = string;
/** Identifies one target: a database server of a group. */
export type TargetId = string;
/** Identifies one database group. */
export type GroupId = string;
/** Identifies one customer. */
export type CustomerId = string;
/** Identifies one request, unique over all daemons. */
export type RequestId = string;
/** Identifies one transaction, unique over all daemons. */
export type TransactionId = string;
/** Identifies one session at an entry daemon. */
export type SessionId = string;
/** Name of a traffic class, which sets the priority of requests. */
export type ClassName = string;
/** Name of a failure domain: instances and targets in it may fail together. */
export type FailureDomain = string;
