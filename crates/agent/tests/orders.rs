//! Orders that come to an agent for its backend server.

use std::cell;

use azuregap_agent::orders;
use azuregap_core::code;
use azuregap_wire::control;
use googletest::prelude::*;

fn order(id: &str, fence: u64) -> control::Order {
    control::Order { id: id.into(), fence, action: control::Action::Role("decode".into()) }
}

/// An agent's orders, and the ids that were carried out.
#[derive(Default)]
struct Agent {
    orders: orders::OrderTracker,
    executed: cell::RefCell<Vec<String>>,
}

impl Agent {
    /// An agent that has read the fencing number `fence` at its start.
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
fn an_order_is_carried_out_once_and_its_end_is_told_again() -> Result<()> {
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
fn an_old_fencing_number_is_refused_also_for_a_known_order() -> Result<()> {
    let agent = Agent::started(0);
    agent.handle("a", 1);
    agent.handle("b", 2);
    for id in ["a", "c"] {
        verify_that!(failure_code(&agent.handle(id, 1)), some(eq(code::Code::FenceOld)))?;
    }
    verify_that!(*agent.executed.borrow(), elements_are![eq("a"), eq("b")])
}

#[gtest]
fn an_order_of_unknown_end_is_sent_again_under_its_id() -> Result<()> {
    let agent = Agent::started(0);
    agent.handle("a", 1);
    agent.record_outcome("a", orders::Outcome::Unknown("no answer".into()));
    agent.handle("a", 1);
    verify_that!(agent.handle("a", 1), eq(&control::Body::Done))?;
    verify_that!(*agent.executed.borrow(), elements_are![eq("a"), eq("a")])
}

#[gtest]
fn a_refused_order_had_no_effect_and_may_be_ordered_again() -> Result<()> {
    let agent = Agent::started(0);
    agent.handle("a", 1);
    agent.record_outcome("a", orders::Outcome::Refused("busy".into()));
    verify_that!(failure_code(&agent.handle("a", 1)), some(eq(code::Code::OrderRefused)))?;
    verify_that!(agent.handle("a", 1), eq(&control::Body::Done))?;
    verify_that!(*agent.executed.borrow(), elements_are![eq("a"), eq("a")])
}

#[gtest]
fn a_restarted_agent_takes_no_order_from_before_the_fence_it_read() -> Result<()> {
    let agent = Agent::default();
    verify_that!(agent.handle("a", 7), eq(&control::Body::Done))?;
    verify_that!(*agent.executed.borrow(), is_empty())?;
    agent.orders.set_fence(7);
    verify_that!(failure_code(&agent.handle("b", 6)), some(eq(code::Code::FenceOld)))?;
    agent.handle("a", 7);
    verify_that!(*agent.executed.borrow(), elements_are![eq("a")])
}
