//! Evacuation of the agent's availability zone, and the return of its endpoint afterwards.
//!
//! Designed for a zone that is taken back while the others are full. Its endpoints are all free at
//! that moment and may have become slow. If they offered all of their capacity at once, every entry
//! would send them its backlog before one task has shown how fast they are now. An endpoint
//! therefore offers a part of its capacity at first, and more with each task that it completes.

use crate::job::Resources;

/// Completed tasks after which a returning endpoint offers all of its capacity. The pace of an
/// endpoint is known by then.
const RETURN_STEPS: u32 = 8;

/// Whether the agent's zone takes tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ZoneState {
    /// Tasks are started.
    #[default]
    Open,
    /// An operator has evacuated the zone: nothing is started.
    Evacuated,
    /// The zone was taken back, and this number of tasks has been completed since.
    Returning(u32),
}

impl ZoneState {
    /// Returns the state after an operator's order.
    pub(super) fn with_order(self, evacuated: bool) -> Self {
        match (self, evacuated) {
            (_, true) => Self::Evacuated,
            (Self::Evacuated, false) => Self::Returning(0),
            (other, false) => other,
        }
    }

    /// Returns the state after a completed task.
    pub(super) fn with_completion(self) -> Self {
        match self {
            Self::Returning(done) if done + 1 >= RETURN_STEPS => Self::Open,
            Self::Returning(done) => Self::Returning(done + 1),
            other => other,
        }
    }

    /// Returns the part of an endpoint's capacity that is offered for tasks.
    pub(super) fn offered(self, capacity: Resources) -> Resources {
        let cpu = match self {
            Self::Open => capacity.cpu,
            Self::Evacuated => 0,
            Self::Returning(done) => {
                let part = u64::from(capacity.cpu) * u64::from(done + 1) / u64::from(RETURN_STEPS);
                part as u32
            }
        };
        Resources { cpu, ..capacity }
    }
}
