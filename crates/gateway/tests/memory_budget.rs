//! Who gets memory, and who gives way, when clients hold more than there is.

use std::sync;
use std::time::Duration;

use azuregap_gateway::decision::connection_limit;
use azuregap_gateway::decision::memory_budget;
use azuregap_gateway::decision::progress;
use azuregap_gateway::settings;
use googletest::prelude::*;
use memory_budget::Outcome;
use tokio::time;

const MIB: usize = 1 << 20;

/// Nobody is waited for.
fn nobody(_: memory_budget::HolderId) -> Option<Duration> {
    None
}

/// Each holder has been waited for as many seconds as its id says.
fn by_id(id: memory_budget::HolderId) -> Option<Duration> {
    Some(Duration::from_secs(id))
}

#[gtest]
fn what_is_returned_can_be_reserved_again() {
    let budget = sync::Arc::new(sync::Mutex::new(memory_budget::MemoryBudget::new(Some(8 * MIB))));
    let mut first = memory_budget::Reservation::new(budget.clone(), 1);
    expect_that!(first.grow(4 * MIB, nobody), eq(Outcome::Granted));
    let mut second = memory_budget::Reservation::new(budget.clone(), 2);
    expect_that!(second.grow(4 * MIB, nobody), eq(Outcome::Refused));
    drop(first);
    expect_that!(second.grow(4 * MIB, nobody), eq(Outcome::Granted));
    drop(second);
    expect_that!(budget.lock().expect("no panic").used(), eq(0));
}

#[gtest]
fn the_largest_gives_way_and_of_alike_ones_the_slowest() {
    let mut budget = memory_budget::MemoryBudget::new(Some(16 * MIB));
    for (id, bytes) in [(2, 3 * MIB), (3, 4 * MIB), (4, 5 * MIB), (9, MIB)] {
        expect_that!(budget.reserve(id, bytes, nobody), eq(Outcome::Granted));
    }
    expect_that!(budget.reserve(1, 2 * MIB, by_id), eq(Outcome::GrantedFor(4)));
    // What gives way counts as free, and isn't asked again.
    expect_that!(budget.reserve(1, 2 * MIB, by_id), eq(Outcome::Granted));
    expect_that!(budget.reserve(5, 2 * MIB, by_id), eq(Outcome::Granted));
    expect_that!(budget.reserve(6, 2 * MIB, by_id), eq(Outcome::GrantedFor(3)));
}

#[gtest]
fn those_that_are_served_or_have_not_been_waited_for_long_are_kept() {
    let mut budget = memory_budget::MemoryBudget::new(Some(8 * MIB));
    expect_that!(budget.reserve(1, 6 * MIB, nobody), eq(Outcome::Granted));
    let just_now = |_| Some(Duration::from_millis(900));
    expect_that!(budget.reserve(2, 2 * MIB, just_now), eq(Outcome::Refused));
    expect_that!(budget.reserve(2, 2 * MIB, nobody), eq(Outcome::Refused));
}

#[gtest]
fn a_larger_holder_does_not_displace_smaller_ones() {
    let mut budget = memory_budget::MemoryBudget::new(Some(8 * MIB));
    for id in 1..=6 {
        expect_that!(budget.reserve(id, MIB, nobody), eq(Outcome::Granted));
    }
    expect_that!(budget.reserve(7, 4 * MIB, by_id), eq(Outcome::Refused));
}

#[gtest]
fn a_small_request_finds_room_beside_large_ones() {
    let mut budget = memory_budget::MemoryBudget::new(Some(8 * MIB));
    expect_that!(budget.reserve(1, 4 * MIB, nobody), eq(Outcome::Granted));
    expect_that!(budget.reserve(2, 3 * MIB, nobody), eq(Outcome::Granted));
    expect_that!(budget.reserve(3, MIB / 2, nobody), eq(Outcome::Refused));
    expect_that!(budget.reserve(4, 8 << 10, nobody), eq(Outcome::Granted));
}

#[gtest]
fn bytes_that_outlive_their_connection_stay_counted_until_they_are_returned() {
    let mut budget = memory_budget::MemoryBudget::new(Some(8 * MIB));
    expect_that!(budget.reserve(1, 6 * MIB, nobody), eq(Outcome::Granted));
    expect_that!(budget.reserve(5, 2 * MIB, by_id), eq(Outcome::GrantedFor(1)));
    expect_that!(budget.used(), eq(8 * MIB));
    budget.release(1, 6 * MIB);
    expect_that!(budget.used(), eq(2 * MIB));
    expect_that!(budget.reserve(6, 4 * MIB, nobody), eq(Outcome::Granted));
}

#[gtest]
fn without_a_limit_everything_is_granted() {
    let mut budget = memory_budget::MemoryBudget::for_process(None);
    expect_that!(budget.reserve(1, usize::MAX / 2, nobody), eq(Outcome::Granted));
}

/// A body of the greatest legal length has to find room in calm on the smallest VM.
#[gtest]
fn the_smallest_vm_has_room_for_a_long_body() {
    let mut budget = memory_budget::MemoryBudget::for_process(Some(110 * MIB));
    expect_that!(budget.reserve(1, 4 * MIB, nobody), eq(Outcome::Granted));
}

/// Guards against ordinary clients that are closed as they connect, since idle ones went before slow ones.
#[gtest]
fn the_connection_that_is_furthest_behind_is_closed_first_and_busy_ones_never() {
    use connection_limit::Activity;
    let seconds = Duration::from_secs;
    let idle = [("a", Activity::Idle(seconds(1))), ("b", Activity::Idle(seconds(2)))];
    let waiting = [("c", Activity::Waiting(seconds(9))), ("d", Activity::Waiting(seconds(3)))];
    let busy = [("e", Activity::Busy), ("f", Activity::Waiting(Duration::from_millis(999)))];
    let all = idle.into_iter().chain(waiting).chain(busy);
    expect_that!(connection_limit::pick_victim(all), some(eq("c")));
    let others = idle.into_iter().chain(busy);
    expect_that!(connection_limit::pick_victim(others), some(eq("b")));
    let new = [("g", Activity::Idle(Duration::ZERO))];
    let others = new.into_iter().chain(busy);
    expect_that!(connection_limit::pick_victim(others), some(eq("g")));
    expect_that!(connection_limit::pick_victim(busy.into_iter()), none());
}

/// Guards against clients that keep their connections by a byte now and then.
#[gtest]
fn a_client_is_behind_by_what_it_owes_at_the_floor() {
    let start = time::Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    // A byte each half second, and a body in pieces at twice the floor.
    for (bytes, pause, expected) in [(1, 500, 9_980..=9_981), (1_024, 500, 0..=0)] {
        let mut progress = progress::Progress::default();
        progress.start(start);
        for step in 1..=20 {
            progress.advance(bytes, at(step * pause));
        }
        let lag = progress.lag(at(20 * pause)).as_millis();
        expect_that!(expected.contains(&lag), eq(true), "{bytes} bytes: {lag} ms");
    }
    // What was sent faster doesn't count in advance, and time in which nobody waits doesn't count.
    let mut progress = progress::Progress::default();
    progress.start(start);
    progress.advance(1 << 20, at(10));
    expect_that!(progress.lag(at(3_010)), eq(Duration::from_secs(3)));
    progress.stop(at(3_010));
    expect_that!(progress.lag(at(60_000)), eq(Duration::from_secs(3)));
}

/// Guards against connections that are all in use when the next client comes.
#[gtest]
fn a_part_of_the_connections_is_kept_free() {
    use connection_limit::Room;
    for (open, room) in [(0, Room::Plenty), (149, Room::Plenty), (150, Room::Scarce)] {
        expect_that!(connection_limit::room(open, 160), eq(room), "{open}");
    }
    expect_that!(connection_limit::room(159, 160), eq(Room::Scarce));
    expect_that!(connection_limit::room(160, 160), eq(Room::None));
    expect_that!(connection_limit::room(7, 8), eq(Room::Plenty));
}

#[gtest]
fn connections_are_bounded_by_descriptors() {
    let max = |memory: Option<usize>, descriptors: Option<u32>| {
        let resources = settings::Resources { memory, descriptors, link_rate: None };
        connection_limit::max_connections(&resources)
    };
    expect_that!(max(None, None), eq(usize::MAX));
    expect_that!(max(None, Some(128)), eq(36));
    expect_that!(max(Some(110 * MIB), Some(8_192)), eq(4_068));
    expect_that!(max(Some(16 * MIB), Some(16)), eq(8));
}

/// Guards against connections and bodies that fit into a VM by themselves, and not together.
#[gtest]
fn connections_and_what_is_sent_on_them_share_one_account() {
    let mut budget = memory_budget::MemoryBudget::for_process(Some(110 * MIB));
    let connection = memory_budget::SILENT_BYTES + memory_budget::BUFFER_BYTES;
    let (limit, body) = (86 * MIB / 4 * 3, 34_000);
    let mut reserve = |id| {
        let mut granted = |bytes| budget.reserve(id, bytes, nobody) == Outcome::Granted;
        [connection, body].into_iter().all(&mut granted)
    };
    let held = (1..=1_400).map_while(|id| reserve(id).then_some(id)).count();
    expect_that!(held * (connection + body), le(limit));
    expect_that!((held + 2) * (connection + body), gt(limit));
}
