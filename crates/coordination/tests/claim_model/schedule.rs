//! Random schedules: the possible steps and their frequencies.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Number of agents.
pub(crate) const AGENTS: usize = 2;

/// What happens to a call or message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallFate {
    Success,
    Rejected,
    LostBefore,
    LostAfter,
    /// The response is lost, and the call takes effect at a later step.
    Delayed,
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A request with the key arrives at an entry, which selects this agent.
    Start {
        agent: usize,
    },
    /// A request executes its next step.
    Execute {
        request: usize,
        fate: CallFate,
    },
    /// The entry of a request crashes.
    CrashEntry {
        request: usize,
    },
    /// An agent crashes and restarts as a new incarnation.
    CrashAgent {
        agent: usize,
    },
    /// An agent discards the requests that it completed.
    DiscardCompleted {
        agent: usize,
    },
    /// An agent starts or stops rejecting new work.
    Busy {
        agent: usize,
        busy: bool,
    },
    /// An agent completes its running requests.
    Complete {
        agent: usize,
    },
    /// A delayed write takes effect.
    ApplyDelayedWrite,
    /// A delayed dispatch arrives.
    DeliverDelayedDispatch,
    Outage(bool),
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
            40 => Just(CallFate::Success),
            1 => Just(CallFate::Rejected),
            1 => Just(CallFate::LostBefore),
            2 => Just(CallFate::LostAfter),
            2 => Just(CallFate::Delayed),
        ];
        let agent = 0..AGENTS;
        prop_oneof![
            3 => agent.clone().prop_map(|agent| Step::Start { agent }),
            60 => (0..4usize, fate).prop_map(|(request, fate)| Step::Execute { request, fate }),
            2 => (0..4usize).prop_map(|request| Step::CrashEntry { request }),
            1 => agent.clone().prop_map(|agent| Step::CrashAgent { agent }),
            1 => agent.clone().prop_map(|agent| Step::DiscardCompleted { agent }),
            2 => (agent.clone(), any::<bool>())
                .prop_map(|(agent, busy)| Step::Busy { agent, busy }),
            10 => agent.prop_map(|agent| Step::Complete { agent }),
            2 => Just(Step::ApplyDelayedWrite),
            2 => Just(Step::DeliverDelayedDispatch),
            1 => prop_oneof![1 => Just(true), 3 => Just(false)].prop_map(Step::Outage),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}
