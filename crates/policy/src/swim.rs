//! Failure detection and gossip among the daemons.
