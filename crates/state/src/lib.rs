//! Replicated state of the control group: claims, membership, configuration, audit.
