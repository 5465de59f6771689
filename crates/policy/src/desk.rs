//! The asking side of arbitration: what this daemon waits for and holds.
