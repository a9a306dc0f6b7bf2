//! Merging the list with direct speech, restarts, bounds and subsets.

use std::collections;
use std::time::Duration;

use azuregap_coordination::membership;
use azuregap_coordination::rendezvous;
use googletest::prelude::*;
use tokio::time;

const SECOND: Duration = Duration::from_secs(1);

fn members() -> membership::Members<&'static str> {
    membership::Members::new(membership::MembershipOptions::new().capacity(3))
}

fn live(node: &str) -> (String, membership::Listing) {
    (node.to_owned(), membership::Listing::Live)
}

#[gtest]
fn a_process_that_speaks_is_usable_before_it_is_listed() {
    let start = time::Instant::now();
    let mut members = members();
    expect_that!(members.record_message("a", 1, "a:1", start), eq(membership::MessageOutcome::New));
    members.update_listing([live("b")], start);
    expect_that!(members.is_usable("a", start), eq(true));
    expect_that!(members.is_usable("b", start), eq(false));
    expect_that!(members.silent(start).collect::<Vec<_>>(), elements_are![eq(&"b")]);
}

#[gtest]
fn a_silent_or_leaving_process_is_not_usable_though_it_is_listed() {
    let start = time::Instant::now();
    let mut members = members();
    members.update_listing([live("a"), live("b")], start);
    members.record_message("a", 1, "a:1", start);
    members.record_message("b", 2, "b:1", start);
    members.mark_leaving("b", 9);
    expect_that!(members.is_usable("b", start), eq(true));
    members.mark_leaving("b", 2);
    expect_that!(members.is_usable("b", start), eq(false));
    expect_that!(members.is_usable("a", start + 2 * SECOND), eq(true));
    expect_that!(members.is_usable("a", start + 3 * SECOND), eq(false));
    members.update_listing([("a".to_owned(), membership::Listing::Leaving)], start);
    expect_that!(members.usable(start).count(), eq(0));
}

#[gtest]
fn a_restart_is_told_by_the_incarnation_and_late_messages_change_nothing() {
    let start = time::Instant::now();
    let mut members = members();
    members.record_message("a", 1, "a:1", start);
    members.mark_leaving("a", 1);
    expect_that!(
        members.record_message("a", 2, "a:2", start),
        eq(membership::MessageOutcome::Restarted)
    );
    expect_that!(members.is_usable("a", start), eq(true));
    expect_that!(
        members.record_message("a", 1, "a:1", start + SECOND),
        eq(membership::MessageOutcome::Stale)
    );
    expect_that!(members.get("a").unwrap().info, some(eq("a:2")));
    // What others tell does not replace what a process said of itself.
    members.record_gossip("a", "a:3", start + SECOND);
    expect_that!(members.get("a").unwrap().info, some(eq("a:2")));
    members.record_gossip("a", "a:3", start + 5 * SECOND);
    expect_that!(members.get("a").unwrap().info, some(eq("a:3")));
    expect_that!(members.is_usable("a", start + 5 * SECOND), eq(false));
}

#[gtest]
fn entries_are_bounded_and_forgotten() {
    let start = time::Instant::now();
    let mut members = members();
    members.update_listing([live("a")], start);
    members.record_gossip("b", "b:1", start);
    members.record_message("c", 1, "c:1", start + SECOND);
    // The one that is neither listed nor speaks makes room.
    expect_that!(
        members.record_message("d", 1, "d:1", start + SECOND),
        eq(membership::MessageOutcome::New)
    );
    expect_that!(members.get("b"), none());
    expect_that!(
        members.record_message("e", 1, "e:1", start + SECOND),
        eq(membership::MessageOutcome::Full)
    );
    members.update_listing([live("a")], start + 70 * SECOND);
    expect_that!(members.len(), eq(1));
}

/// Least and most entries per agent and agents per entry, if entries pick agents and if agents
/// pick entries.
fn balance(entries: usize, agents: usize, per_agent: usize) -> String {
    let entries: Vec<_> = (0..entries).map(|index| format!("entry-{index}")).collect();
    let agents: Vec<_> = (0..agents).map(|index| format!("agent-{index}")).collect();
    let names: Vec<_> = entries.iter().map(String::as_str).collect();
    let size = (agents.len() * per_agent).div_ceil(entries.len());
    let spread = |subsets: Vec<Vec<&str>>| {
        let mut counts: collections::HashMap<_, _> =
            agents.iter().map(|agent| (agent.as_str(), 0)).collect();
        subsets.iter().flatten().for_each(|agent| *counts.get_mut(agent).unwrap() += 1);
        let sizes = || subsets.iter().map(Vec::len);
        let (least, most) = (counts.values().min().unwrap(), counts.values().max().unwrap());
        let (small, large) = (sizes().min().unwrap(), sizes().max().unwrap());
        format!("{least} to {most} entries an agent, {small} to {large} agents an entry")
    };
    let all = || agents.iter().map(String::as_str);
    let by_entry = names.iter().map(|entry| rendezvous::pick(entry, all(), size)).collect();
    let by_agent =
        names.iter().map(|entry| membership::subset(entry, &names, all(), per_agent)).collect();
    let (by_entry, by_agent) = (spread(by_entry), spread(by_agent));
    format!(
        "{} entries, {} agents\n  entries pick: {by_entry}\n  agents pick:  {by_agent}",
        names.len(),
        agents.len()
    )
}

#[gtest]
fn every_agent_is_in_some_subset() {
    let rows = [balance(3, 12, 3), balance(9, 320, 3), balance(100, 8000, 4)];
    insta::assert_snapshot!(rows.join("\n"));
}

#[gtest]
fn an_entry_that_leaves_changes_only_its_own_agents() {
    let entries: Vec<_> = (0..10).map(|index| format!("entry-{index}")).collect();
    let agents: Vec<_> = (0..100).map(|index| format!("agent-{index}")).collect();
    let names: Vec<_> = entries.iter().map(String::as_str).collect();
    let all = || agents.iter().map(String::as_str);
    let gone = membership::subset(names[9], &names, all(), 3);
    for entry in &names[..9] {
        let before = membership::subset(entry, &names, all(), 3);
        let after = membership::subset(entry, &names[..9], all(), 3);
        expect_that!(before.iter().all(|agent| after.contains(agent)), eq(true));
        let new = after.iter().filter(|agent| !before.contains(agent));
        expect_that!(new.clone().all(|agent| gone.contains(agent)), eq(true));
    }
}
