//! Two operators change one version; one wins, and the other learns who changed what.
//!
//! Run with `cargo run -p azuregap-coordination --example configuration`.

use azuregap_coordination::configuration;
use azuregap_coordination::store;
use tokio::time;

type Stored = store::VersionedRow<configuration::ConfigurationRow<String>>;

/// Carries a change to its end.
fn propose(
    mut acceptance: configuration::Proposal<String>,
    stored: &mut Stored,
) -> configuration::Outcome {
    let mut event = configuration::Event::Start;
    loop {
        event = match acceptance.handle(event) {
            configuration::Action::Read => configuration::Event::ReadDone(stored.clone()),
            configuration::Action::Write { version, row } if version == stored.version => {
                *stored = store::VersionedRow::new(version + 1, row);
                configuration::Event::WriteDone(store::WriteOutcome::Applied(version + 1))
            }
            configuration::Action::Write { .. } => {
                configuration::Event::WriteDone(store::WriteOutcome::Conflict)
            }
            configuration::Action::Settled(verdict) => return verdict,
        };
    }
}

fn main() {
    let mut stored = Stored::absent();
    let ann = configuration::Proposal::new("two replicas".to_owned(), 0, "plan-1", "ann")
        .summary(["pool summary: 1 to 2 replicas".to_owned()]);
    let bob = configuration::Proposal::new("no replica".to_owned(), 0, "plan-2", "bob");
    println!("ann: {:?}", propose(ann.clone(), &mut stored));
    println!("bob: {:?}", propose(bob, &mut stored));
    println!("ann confirms again: {:?}", propose(ann, &mut stored));

    // Each process takes what is newer and never goes back.
    let mut register = configuration::VersionedValue::new();
    let now = time::Instant::now();
    let rules = configuration::FreshnessOptions::new();
    let mut fresh = configuration::Freshness::new("entry-1", rules);
    if let Some(row) = stored.value {
        register.update(row.version(), row.value);
        fresh.confirmed_by_read(now);
    }
    let older = register.update(0, String::new());
    println!("in force: {:?}; offered an older one: {older:?}", register.value());
    let later = now + rules.max_staleness * 2;
    let (at_once, alone) = (fresh.may_serve(true, now), fresh.may_serve(true, later));
    println!("keyed requests served at once: {at_once}, cut off for 8 s: {alone}");
}
