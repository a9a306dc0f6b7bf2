//! Admission, repetition and fencing of orders.

use std::cell;

use azuregap_agent::orders;
use azuregap_core::code;
use azuregap_wire::control;
use googletest::prelude::*;

fn order(id: &str, fence: u64) -> control::Order {
    control::Order { id: id.into(), fence, action: control::Action::Role("decode".into()) }
}

/// The order tracker of an agent, and the ids of the executed orders.
#[derive(Default)]
struct Agent {
    orders: orders::OrderTracker,
    executed: cell::RefCell<Vec<String>>,
}

impl Agent {
    /// An agent that read the fencing token `fence` at its start.
    fn started(fence: u64) -> Self {
        let agent = Self::default();
        agent.orders.set_fence(fence);
        agent
    }

    fn handle(&self, id: &str, fence: u64) -> control::Body {
        let execute = |order: control::Order| self.executed.borrow_mut().push(order.id);
        self.orders.handle(&order(id, fence), execute)
    }

    fn record_outcome(&self, id: &str, outcome: orders::Outcome) {
        self.orders.record_outcome(&id.to_owned(), outcome);
    }
}

fn failure_code(body: &control::Body) -> Option<code::Code> {
    let control::Body::Failed { code, .. } = body else { return None };
    Some(*code)
}

#[gtest]
fn order_executes_once_and_repeats_return_its_outcome() -> Result<()> {
    let agent = Agent::started(0);
    verify_that!(agent.handle("a", 1), eq(&control::Body::Done))?;
    verify_that!(agent.handle("a", 1), eq(&control::Body::Done))?;
    agent.record_outcome("a", orders::Outcome::Done);
    for _ in 0..2 {
        verify_that!(agent.handle("a", 2), eq(&control::Body::OrderDone { id: "a".into() }))?;
    }
    verify_that!(*agent.executed.borrow(), elements_are![eq("a")])
}

#[gtest]
fn old_fencing_token_is_refused_even_for_a_known_order() -> Result<()> {
    let agent = Agent::started(0);
    agent.handle("a", 1);
    agent.handle("b", 2);
    for id in ["a", "c"] {
        verify_that!(failure_code(&agent.handle(id, 1)), some(eq(code::Code::FenceOld)))?;
    }
    verify_that!(*agent.executed.borrow(), elements_are![eq("a"), eq("b")])
}

#[gtest]
fn order_with_unknown_outcome_is_executed_again_when_repeated() -> Result<()> {
    let agent = Agent::started(0);
    agent.handle("a", 1);
    agent.record_outcome("a", orders::Outcome::Unknown("no answer".into()));
    agent.handle("a", 1);
    verify_that!(agent.handle("a", 1), eq(&control::Body::Done))?;
    verify_that!(*agent.executed.borrow(), elements_are![eq("a"), eq("a")])
}

#[gtest]
fn refused_order_may_be_repeated() -> Result<()> {
    let agent = Agent::started(0);
    agent.handle("a", 1);
    agent.record_outcome("a", orders::Outcome::Refused("busy".into()));
    verify_that!(failure_code(&agent.handle("a", 1)), some(eq(code::Code::OrderRefused)))?;
    verify_that!(agent.handle("a", 1), eq(&control::Body::Done))?;
    verify_that!(*agent.executed.borrow(), elements_are![eq("a"), eq("a")])
}

#[gtest]
fn restarted_agent_ignores_orders_until_it_read_the_fence_and_refuses_older_ones() -> Result<()> {
    let agent = Agent::default();
    verify_that!(agent.handle("a", 7), eq(&control::Body::Done))?;
    verify_that!(*agent.executed.borrow(), is_empty())?;
    agent.orders.set_fence(7);
    verify_that!(failure_code(&agent.handle("b", 6)), some(eq(code::Code::FenceOld)))?;
    agent.handle("a", 7);
    verify_that!(*agent.executed.borrow(), elements_are![eq("a")])
}
