//! The quorum-replicated control log.
