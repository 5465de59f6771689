//! Which instances callers should use, best first.
