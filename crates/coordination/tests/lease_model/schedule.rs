//! The schedules: what may happen, and how often.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Candidates.
pub(crate) const NODES: usize = 3;
/// Stands for the node that the lease row names.
pub(crate) const HOLDER: usize = usize::MAX;

/// What becomes of a call to the table service.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    /// Takes effect when it is sent.
    Early,
    /// Takes effect just before it is answered.
    Late,
    Refused,
    LostBefore,
    LostAfter,
    /// Its answer is lost and it takes effect at some later moment.
    Lingers,
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Time passes and every node that is awake does what it wants to do; orders pause and fly
    /// for so many percent of the longest span.
    Run {
        ticks: u32,
        gap: u32,
        flight: u32,
    },
    /// What becomes of the next call of a node.
    Fault {
        node: usize,
        fate: Fate,
    },
    Freeze {
        node: usize,
        halves: u32,
    },
    /// The node freezes until just before it must stop acting.
    FreezeUntilExpiry {
        node: usize,
    },
    /// The node does not reach the table service for some half terms.
    Cut {
        node: usize,
        halves: u32,
    },
    /// An effect that lingered takes place.
    Land,
    Outage(bool),
}

/// Percent of a longest span; the extremes more often than what is between.
pub(crate) fn extreme() -> impl Strategy<Value = u32> + Clone {
    prop_oneof![Just(0u32), Just(100), 0..=100u32]
}

/// The schedule does not depend on the state.
pub(crate) struct Schedule;

impl ReferenceStateMachine for Schedule {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let fate = prop_oneof![
            Just(Fate::Late),
            Just(Fate::Refused),
            Just(Fate::LostBefore),
            Just(Fate::LostAfter),
            Just(Fate::Lingers),
        ];
        let halves = prop_oneof![Just(1u32), Just(2), Just(6)];
        // Half of the faults that befall a process befall the holder.
        let node = prop_oneof![Just(HOLDER), 0..NODES];
        prop_oneof![
            10 => (1..100u32, extreme(), extreme())
                .prop_map(|(ticks, gap, flight)| Step::Run { ticks, gap, flight }),
            5 => (node.clone(), fate).prop_map(|(node, fate)| Step::Fault { node, fate }),
            1 => (node.clone(), halves.clone())
                .prop_map(|(node, halves)| Step::Freeze { node, halves }),
            1 => node.clone().prop_map(|node| Step::FreezeUntilExpiry { node }),
            1 => (node, halves).prop_map(|(node, halves)| Step::Cut { node, halves }),
            1 => Just(Step::Land),
            1 => prop_oneof![1 => Just(true), 4 => Just(false)].prop_map(Step::Outage),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}
