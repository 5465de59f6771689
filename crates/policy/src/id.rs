//! Identifier types that are shared by all modules.
//!
//! They are aliases, so signatures are descriptive without conversions.

/// Name of an instance, unique in the cluster.
pub type InstanceId = String;

/// Random identifier of one data directory; never reused after a disk is lost.
pub type ReplicaId = u64;

/// Name of an upstream runner, as listed by the platform.
pub type RunnerId = String;

/// Version of a runner's software; declarations and model weights have versions of
/// their own.
pub type BuildId = String;

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

/// Version of a whole declaration, assigned by an operator.
pub type Version = u64;

/// Name of an operator, as authenticated by the admin listener.
pub type OperatorId = String;

/// Identifier of a change, chosen by the operator and reused when it is resent.
pub type ChangeId = String;

/// Random identifier of a caller's request.
pub type RequestId = u64;

/// Random identifier of one attempt to claim an idempotency key.
pub type AttemptId = u64;

/// Revision of the catalogue; incremented by each accepted change.
pub type Revision = u64;

/// Index in the control log, from 1.
pub type Index = u64;

/// Number that orders the holders of a duty; the platform compares it.
pub type FencingToken = u64;

/// Number of a window of usage, counted from the start of 1970.
pub type WindowId = u64;

/// Random identity of one run of a daemon's process.
pub type ProcessId = u64;

/// Number of the start of a request, from 1 for each process.
pub type StartId = u64;

/// Election term of the control log.
pub type Term = u64;

/// Digest of an account and a request body, stable across daemons.
pub type Fingerprint = u64;

/// Digest of the id of the request that brought a stream's first event.
pub type StreamId = u64;

/// Identity of a part of a prompt, by its content.
pub type PartId = u64;

/// Version of one instance's own membership record.
pub type Incarnation = u64;

/// Generation of an arbiter; grants from older epochs are rejected.
pub type Epoch = u64;
