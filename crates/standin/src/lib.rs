//! Endpoint stand-in with settable speed and failure modes.
