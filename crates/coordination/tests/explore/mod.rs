//! Runs random schedules of a state machine with a fixed seed.

use std::sync::atomic;

use proptest::test_runner;
use proptest_state_machine::ReferenceStateMachine;

/// Runs `cases` schedules of `steps` steps each: `world` makes a world and `step` takes a step of
/// it. The worlds as they ended are given to `end`. The first broken invariant is returned with the
/// shortest schedule that breaks it.
pub(crate) fn explore<S, W>(
    cases: u32,
    steps: std::ops::Range<usize>,
    world: impl Fn() -> W,
    step: impl Fn(&mut W, S::Transition) -> Result<(), String>,
    end: impl Fn(W),
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
        let mut world = world();
        for next in steps {
            // Shrinking wants to know how many steps were taken.
            if let Some(seen) = &seen {
                seen.fetch_add(1, atomic::Ordering::SeqCst);
            }
            step(&mut world, next).map_err(test_runner::TestCaseError::fail)?;
        }
        end(world);
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
