//! The control replica, and how any daemon reaches the control log.
