//! Keeps this daemon's view of the control log current, and serves it to others.
