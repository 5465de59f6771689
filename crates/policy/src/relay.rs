//! Which daemon gets the feed from which other one.
