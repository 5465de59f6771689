//! Membership over UDP.
