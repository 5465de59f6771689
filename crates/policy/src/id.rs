//! Names and numbers that identify things across the system.
//!
//! They are aliases, so a signature says what it means without conversions.

/// Name of one entry instance, unique in the cluster.
pub type InstanceId = String;

/// Random identity of one data folder; never reused after a disk is lost.
pub type ReplicaId = u64;

/// Name of one upstream runner, as the platform lists it.
pub type RunnerId = String;

/// Name of a failure domain.
pub type DomainId = String;

/// Name of a client account.
pub type AccountId = String;

/// Name of a request class.
pub type ClassId = String;

/// Name of a service.
pub type ServiceId = String;

/// Name of a route.
pub type RouteId = String;

/// Number that an operator gives a whole declaration.
pub type Version = u64;

/// Caller's operator name, as authenticated at the admin listener.
pub type OperatorId = String;

/// Operator-chosen identity of one change, reused when it is resent.
pub type ChangeId = String;

/// Random identity of one caller's request.
pub type RequestId = u64;

/// Random identity of one attempt to claim an idempotency key.
pub type AttemptId = u64;

/// Number of accepted changes; grows by one with each.
pub type Revision = u64;

/// Position in the control log, from one.
pub type Index = u64;

/// Election number of the control log.
pub type Term = u64;

/// Digest of an account and a request body, stable across daemons.
pub type Fingerprint = u64;

/// Version of one instance's own membership record.
pub type Incarnation = u64;

/// Generation of one arbiter; grants of an older one are refused.
pub type Epoch = u64;
