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
    /// Another discipline, for comparison, with this many places in its queue.
    Other(discipline::Kind, usize),
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
    pub const ROUND_ROBIN: Self = Self::new("round-robin", Routing::RoundRobin, LONG_FIFO);
    /// Least loaded on lagging reports and first come, first served.
    pub const LEAST_LOADED: Self = Self::new("least-loaded", Routing::LeastLoaded, LONG_FIFO);
    /// The policy's choice with first come, first served.
    pub const FIFO: Self = Self::short("chooser+fifo", discipline::Kind::Fifo);
    /// The policy's choice with strict priority and ageing.
    pub const AGEING: Self = Self::short("chooser+ageing", discipline::Kind::Ageing);
    /// The policy's choice with deficit round robin over tiers.
    pub const DEFICIT: Self = Self::short("chooser+drr", discipline::Kind::Deficit);
    /// The policy's choice with the earliest deadline first.
    pub const EARLIEST: Self = Self::short("chooser+edf", discipline::Kind::Earliest);

    /// The policy and the two routers it is measured against.
    pub const ROUTERS: [Self; 3] = [Self::OURS, Self::ROUND_ROBIN, Self::LEAST_LOADED];
    /// The queue disciplines under the same choice of replicas and a short queue.
    pub const DISCIPLINES: [Self; 5] =
        [Self::OURS, Self::FIFO, Self::AGEING, Self::DEFICIT, Self::EARLIEST];

    const fn new(name: &'static str, routing: Routing, ordering: Ordering) -> Self {
        Self { name, routing, ordering }
    }

    const fn short(name: &'static str, kind: discipline::Kind) -> Self {
        Self::new(name, Routing::Chooser, Ordering::Other(kind, SHORT_QUEUE))
    }
}

/// The queue of the routers that the policy is measured against.
const LONG_FIFO: Ordering = Ordering::Other(discipline::Kind::Fifo, 64);

/// Places in the queue of the other disciplines: about what the policy's own bound on waiting
/// allows, so that they differ from it in order and not in length.
const SHORT_QUEUE: usize = 3;
