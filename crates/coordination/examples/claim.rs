//! A credit is lodged, its answer is lost, and the repeat gets the stored answer.
//!
//! Run with `cargo run -p azuregap-coordination --example claim`.

use azuregap_coordination::claim;
use azuregap_coordination::store;

/// The table service and the agent, in memory.
struct World {
    row: store::VersionedRow<claim::ClaimRow>,
    /// Answers of writes that are still to be lost after their effect.
    lost: u32,
    runs: u32,
}

impl World {
    fn write(&mut self, version: u64, row: claim::ClaimRow) -> store::WriteOutcome {
        if version != self.row.version {
            return store::WriteOutcome::Conflict;
        }
        self.row = store::VersionedRow::new(version + 1, row);
        if self.lost > 0 {
            self.lost -= 1;
            return store::WriteOutcome::Unknown;
        }
        store::WriteOutcome::Applied(version + 1)
    }

    /// Carries one request to its end.
    fn request(&mut self, id: u128, body: &str) -> claim::Outcome {
        let digest = claim::RequestDigest::of("POST", "/credits", body);
        let mut claim = claim::Claim::new(id, digest, claim::Target::new("billing-1", 7));
        let mut event = claim::Event::Start;
        loop {
            let action = claim.handle(event);
            println!("  request {id}: {action:?}");
            event = match action {
                claim::Action::Read => claim::Event::ReadDone(self.row.clone()),
                claim::Action::Write { version, row } => {
                    claim::Event::WriteDone(self.write(version, row))
                }
                claim::Action::Dispatch(_) => {
                    self.runs += 1;
                    claim::Event::Finished(claim::StoredResponse::new(201, "credit 17"))
                }
                claim::Action::QueryStatus { .. } => {
                    claim::Event::StatusReceived(claim::RequestStatus::Unknown)
                }
                claim::Action::Pending => unreachable!("every action is answered at once"),
                claim::Action::Settled(verdict) => return verdict,
            };
        }
    }
}

fn main() {
    let mut world = World { row: store::VersionedRow::absent(), lost: 1, runs: 0 };
    println!("the answer of the insert is lost:");
    let first = world.request(1, "refund 10");
    println!("the same key and body again:");
    let second = world.request(2, "refund 10");
    println!("the same key with another body:");
    let third = world.request(3, "refund 99");
    println!("verdicts: {first:?}, {second:?}, {third:?}; runs: {}", world.runs);
}
