//! Runs random schedules of a state machine from a fixed seed.

use std::sync::atomic;

use proptest::test_runner;
use proptest_state_machine::ReferenceStateMachine;

/// Runs `cases` schedules of `steps` steps each on models created by `new_model`. `step` applies
/// one step, and `end` receives the final state of every model. Returns the first violated
/// invariant with the shortest schedule that violates it.
pub(crate) fn explore<S, M>(
    cases: u32,
    steps: std::ops::Range<usize>,
    new_model: impl Fn() -> M,
    step: impl Fn(&mut M, S::Transition) -> Result<(), String>,
    end: impl Fn(M),
) -> Result<(), String>
where
    S: ReferenceStateMachine<State = ()>,
    S::Transition: Clone + std::fmt::Debug + 'static,
{
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(1),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let outcome = runner.run(&S::sequential_strategy(steps), |((), steps, seen)| {
        let mut model = new_model();
        for next in steps {
            // Shrinking needs the number of steps that were taken.
            if let Some(seen) = &seen {
                seen.fetch_add(1, atomic::Ordering::SeqCst);
            }
            step(&mut model, next).map_err(test_runner::TestCaseError::fail)?;
        }
        end(model);
        Ok(())
    });
    match outcome {
        Ok(()) => Ok(()),
        Err(test_runner::TestError::Fail(reason, (_, steps, _))) => {
            Err(format!("{reason} after {} steps: {steps:?}", steps.len()))
        }
        Err(other) => Err(other.to_string()),
    }
}
