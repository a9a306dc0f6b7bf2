//! Two processes compete for a lease; the holder is paused for two terms and must not act again.
//!
//! Run with `cargo run -p azuregap-coordination --example lease`. Time is virtual.

use std::time::Duration;

use azuregap_coordination::lease;
use azuregap_coordination::store;
use tokio::time;

/// One row of a table service, in memory.
struct Table {
    row: store::VersionedRow<lease::LeaseRow>,
}

impl Table {
    /// Writes the row if it still has `version`.
    fn write(&mut self, version: u64, row: lease::LeaseRow) -> store::WriteOutcome {
        if version != self.row.version {
            return store::WriteOutcome::Conflict;
        }
        self.row = store::VersionedRow::new(version + 1, row);
        store::WriteOutcome::Applied(version + 1)
    }
}

/// Lets a process do what it wants to do now.
fn drive(lease: &mut lease::Lease, table: &mut Table, now: time::Instant) {
    let mut event = lease::Event::Tick;
    loop {
        event = match lease.handle(event, now) {
            lease::Action::Read => lease::Event::ReadDone(table.row.clone()),
            lease::Action::Write { version, row } => {
                lease::Event::WriteDone(table.write(version, row))
            }
            lease::Action::Wait(_) | lease::Action::Pending | lease::Action::Resigned => return,
        };
    }
}

fn main() {
    let start = time::Instant::now();
    let terms = lease::Timing::new(Duration::from_secs(3));
    let mut table = Table { row: store::VersionedRow::absent() };
    let mut first = lease::Lease::new("entry-1", 11, terms);
    let mut second = lease::Lease::new("entry-2", 22, terms);

    println!("   time  entry-1 may act  entry-2 may act");
    for tenth in 0..180u32 {
        let now = start + Duration::from_millis(100) * tenth;
        // The first process is paused from 6 s to 12 s.
        let paused = (60..120).contains(&tenth);
        if !paused {
            drive(&mut first, &mut table, now);
        }
        drive(&mut second, &mut table, now);
        if tenth % 10 == 0 {
            let shown = |fence: Option<u64>| fence.map_or("no".to_owned(), |f| format!("as {f}"));
            let (first, second) =
                (shown(first.fencing_token(now)), shown(second.fencing_token(now)));
            println!("{:>5} s  {first:>15}  {second:>15}", tenth / 10);
        }
    }
}
