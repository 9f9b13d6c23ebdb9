//! All roles in one process on loopback, for a first look.
