//! Two operators change the same version; one change is accepted, and the other gets a conflict.
//!
//! Run with `cargo run -p azuregap-coordination --example configuration`.

use azuregap_coordination::configuration;
use azuregap_coordination::store;
use tokio::time;

type StoredRow = store::VersionedRow<configuration::ConfigurationRow<String>>;

/// Runs a proposal to completion.
fn propose(
    mut proposal: configuration::Proposal<String>,
    stored: &mut StoredRow,
) -> configuration::Outcome {
    let mut event = configuration::Event::Start;
    loop {
        event = match proposal.handle(event) {
            configuration::Action::Read => configuration::Event::ReadDone(stored.clone()),
            configuration::Action::Write { version, row } if version == stored.version => {
                *stored = store::VersionedRow::new(version + 1, row);
                configuration::Event::WriteDone(store::WriteOutcome::Applied(version + 1))
            }
            configuration::Action::Write { .. } => {
                configuration::Event::WriteDone(store::WriteOutcome::Conflict)
            }
            configuration::Action::Settled(outcome) => return outcome,
        };
    }
}

fn main() {
    let mut stored = StoredRow::absent();
    let ann = configuration::Proposal::new("two replicas".to_owned(), 0, "plan-1", "ann")
        .summary(["pool summary: 1 to 2 replicas".to_owned()]);
    let bob = configuration::Proposal::new("no replica".to_owned(), 0, "plan-2", "bob");
    println!("ann: {:?}", propose(ann.clone(), &mut stored));
    println!("bob: {:?}", propose(bob, &mut stored));
    println!("ann confirms again: {:?}", propose(ann, &mut stored));

    // Each process only applies newer versions.
    let mut register = configuration::VersionedValue::new();
    let now = time::Instant::now();
    let options = configuration::FreshnessOptions::new();
    let mut freshness = configuration::Freshness::new("entry-1", options);
    if let Some(row) = stored.value {
        register.update(row.version(), row.value);
        freshness.confirmed_by_read(now);
    }
    let older = register.update(0, String::new());
    println!("current value: {:?}; update with an older version: {older:?}", register.value());
    let later = now + options.max_staleness * 2;
    let (at_once, isolated) = (freshness.may_serve(true, now), freshness.may_serve(true, later));
    println!("may serve immediately: {at_once}, after 8 s without contact: {isolated}");
}
