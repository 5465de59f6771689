//! Slots on runners: the asking side and, where this daemon is it, the arbiter.
