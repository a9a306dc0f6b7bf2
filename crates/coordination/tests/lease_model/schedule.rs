//! Random schedules: the possible steps and their frequencies.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Number of candidates.
pub(crate) const NODES: usize = 3;
/// Placeholder for the node that the lease row names.
pub(crate) const CURRENT_HOLDER: usize = usize::MAX;

/// What happens to a call to the table service.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallFate {
    /// Takes effect when the call is sent.
    Immediate,
    /// Takes effect just before the response.
    Late,
    Rejected,
    LostBefore,
    LostAfter,
    /// The response is lost, and the call takes effect at a later step.
    Delayed,
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Time advances, and every node that is not paused executes its steps. Orders pause before
    /// the send, and travel, for the given percentages of the maximum durations.
    Run {
        ticks: u32,
        pause: u32,
        latency: u32,
    },
    /// Sets the fate of the next call of a node.
    Fault {
        node: usize,
        fate: CallFate,
    },
    /// The node pauses for this number of half terms.
    Pause {
        node: usize,
        half_terms: u32,
    },
    /// The node pauses until just before its lease expires.
    PauseUntilExpiry {
        node: usize,
    },
    /// The node cannot reach the table service for this number of half terms.
    Disconnect {
        node: usize,
        half_terms: u32,
    },
    /// The table service comes back from a copy that is this number of half terms old.
    Rewind {
        half_terms: u32,
    },
    /// A delayed write takes effect.
    ApplyDelayedWrite,
    Outage(bool),
}

/// Percentage of a maximum duration; the extremes are more frequent than the values between them.
pub(crate) fn percentage() -> impl Strategy<Value = u32> + Clone {
    prop_oneof![Just(0u32), Just(100), 0..=100u32]
}

/// Schedules that do not depend on the state of the model.
pub(crate) struct Schedule;

impl ReferenceStateMachine for Schedule {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let fate = prop_oneof![
            Just(CallFate::Late),
            Just(CallFate::Rejected),
            Just(CallFate::LostBefore),
            Just(CallFate::LostAfter),
            Just(CallFate::Delayed),
        ];
        let half_terms = prop_oneof![Just(1u32), Just(2), Just(6)];
        // Half of the process faults affect the current holder.
        let node = prop_oneof![Just(CURRENT_HOLDER), 0..NODES];
        prop_oneof![
            10 => (1..100u32, percentage(), percentage())
                .prop_map(|(ticks, pause, latency)| Step::Run { ticks, pause, latency }),
            5 => (node.clone(), fate).prop_map(|(node, fate)| Step::Fault { node, fate }),
            1 => (node.clone(), half_terms.clone())
                .prop_map(|(node, half_terms)| Step::Pause { node, half_terms }),
            1 => node.clone().prop_map(|node| Step::PauseUntilExpiry { node }),
            1 => (node, half_terms)
                .prop_map(|(node, half_terms)| Step::Disconnect { node, half_terms }),
            1 => Just(Step::ApplyDelayedWrite),
            1 => prop_oneof![1 => Just(true), 4 => Just(false)].prop_map(Step::Outage),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Schedules in which the table service also comes back from copies.
pub(crate) struct RewindingSchedule;

impl ReferenceStateMachine for RewindingSchedule {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let half_terms = prop_oneof![Just(1u32), Just(4), Just(10)];
        prop_oneof![
            20 => Schedule::transitions(&()),
            1 => half_terms.prop_map(|half_terms| Step::Rewind { half_terms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}
