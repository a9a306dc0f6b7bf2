//! The systems that are compared: how replicas are chosen and how an agent's queue is ordered.

use crate::discipline;

/// How an entry chooses a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The policy's choice.
    Chooser,
    /// Each replica in turn.
    RoundRobin,
    /// The least loaded by reports that come every two seconds, a second late.
    LeastLoaded,
}

/// How an agent orders its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ordering {
    /// The policy's queue.
    Queue,
    /// Another discipline, for comparison.
    Other(discipline::Kind),
}

/// One system under measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct System {
    /// Name in reports.
    pub name: &'static str,
    /// How an entry chooses a replica.
    pub routing: Routing,
    /// How an agent orders its queue.
    pub ordering: Ordering,
}

impl System {
    /// The policy as it is.
    pub const OURS: Self = Self::new("azuregap", Routing::Chooser, Ordering::Queue);
    /// Round robin and first come, first served.
    pub const ROUND_ROBIN: Self = Self::other("round-robin", Routing::RoundRobin, FIFO);
    /// Least loaded on lagging reports and first come, first served.
    pub const LEAST_LOADED: Self = Self::other("least-loaded", Routing::LeastLoaded, FIFO);
    /// The policy's choice with first come, first served.
    pub const FIFO: Self = Self::other("chooser+fifo", Routing::Chooser, FIFO);
    /// The policy's choice with strict priority and ageing.
    pub const AGEING: Self =
        Self::other("chooser+ageing", Routing::Chooser, discipline::Kind::Ageing);
    /// The policy's choice with deficit round robin over classes.
    pub const DEFICIT: Self =
        Self::other("chooser+drr", Routing::Chooser, discipline::Kind::Deficit);
    /// The policy's choice with the earliest deadline first.
    pub const EARLIEST: Self =
        Self::other("chooser+edf", Routing::Chooser, discipline::Kind::Earliest);

    /// The policy and the two routers it is measured against.
    pub const ROUTERS: [Self; 3] = [Self::OURS, Self::ROUND_ROBIN, Self::LEAST_LOADED];
    /// The queue disciplines under the same choice of replicas.
    pub const DISCIPLINES: [Self; 5] =
        [Self::OURS, Self::FIFO, Self::AGEING, Self::DEFICIT, Self::EARLIEST];

    const fn new(name: &'static str, routing: Routing, ordering: Ordering) -> Self {
        Self { name, routing, ordering }
    }

    const fn other(name: &'static str, routing: Routing, kind: discipline::Kind) -> Self {
        Self::new(name, routing, Ordering::Other(kind))
    }
}

const FIFO: discipline::Kind = discipline::Kind::Fifo;
