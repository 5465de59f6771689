//! Exchanges with upstream runners that know whole from cut and written from not.
