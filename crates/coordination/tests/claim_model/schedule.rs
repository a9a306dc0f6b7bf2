//! The schedules: what may happen, and how often.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Agents.
pub(crate) const AGENTS: usize = 2;

/// What becomes of a call or message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fate {
    Good,
    Refused,
    LostBefore,
    LostAfter,
    /// Its answer is lost and it takes effect at some later moment.
    Lingers,
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A request with the key comes to some entry, for an agent.
    Start {
        agent: usize,
    },
    /// A request does its next step.
    Act {
        request: usize,
        fate: Fate,
    },
    /// The entry of a request crashes.
    CrashEntry {
        request: usize,
    },
    /// An agent crashes and another incarnation takes its place.
    CrashAgent {
        agent: usize,
    },
    /// An agent forgets the requests that it completed.
    Forget {
        agent: usize,
    },
    /// An agent refuses new work, or takes it again.
    Busy {
        agent: usize,
        busy: bool,
    },
    /// An agent completes what it runs.
    Complete {
        agent: usize,
    },
    /// A write that lingered takes effect.
    LandWrite,
    /// A dispatch that lingered arrives.
    LandDispatch,
    Outage(bool),
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
            40 => Just(Fate::Good),
            1 => Just(Fate::Refused),
            1 => Just(Fate::LostBefore),
            2 => Just(Fate::LostAfter),
            2 => Just(Fate::Lingers),
        ];
        let agent = 0..AGENTS;
        prop_oneof![
            3 => agent.clone().prop_map(|agent| Step::Start { agent }),
            60 => (0..4usize, fate).prop_map(|(request, fate)| Step::Act { request, fate }),
            2 => (0..4usize).prop_map(|request| Step::CrashEntry { request }),
            1 => agent.clone().prop_map(|agent| Step::CrashAgent { agent }),
            1 => agent.clone().prop_map(|agent| Step::Forget { agent }),
            2 => (agent.clone(), any::<bool>()).prop_map(|(agent, busy)| Step::Busy { agent, busy }),
            10 => agent.prop_map(|agent| Step::Complete { agent }),
            2 => Just(Step::LandWrite),
            2 => Just(Step::LandDispatch),
            1 => prop_oneof![1 => Just(true), 3 => Just(false)].prop_map(Step::Outage),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}
