//! Which whole requests are kept from backend servers, and what isn't blamed for their crashes.

mod support;

use std::time::Duration;

use azuregap_gateway::decision::quarantine;
use azuregap_gateway::request_digest;
use googletest::prelude::*;

/// A segment that all prompts begin with.
const COMMON: u64 = 1;

fn at(millis: u64) -> Duration {
    support::START_TIME + Duration::from_millis(millis)
}

/// A whole request.
fn whole(number: u128) -> quarantine::SuspectId {
    quarantine::SuspectId::Request(request_digest::RequestDigest(number))
}

/// Crashes of one backend server after the other under a request that is sent on, some of which are
/// noticed only by others, since the request was given up there before.
fn crash_in_turn(known: u32, withdrawn: u32, is_recorded: bool) -> quarantine::Quarantine {
    let mut quarantine = quarantine::Quarantine::new(0.0);
    let (segment, guilty) = (quarantine::SuspectId::Segment(COMMON), whole(1));
    for n in 0..known + withdrawn {
        let (sent_at, at) = (at(u64::from(n) * 400), at(u64::from(n) * 400 + 100));
        let crash = quarantine::Crash { backend_hash: n, started_ms: 1, sent_at, at };
        let companion = whole(u128::from(n) + 10);
        if n < known {
            quarantine.record_crash(&[segment, guilty], crash);
        } else if is_recorded {
            quarantine.record_withdrawal(guilty, crash);
        }
        quarantine.record_crash(&[segment, companion], crash);
    }
    quarantine
}

#[gtest]
fn requests_with_a_segment_of_one_that_was_given_up_are_not_rejected_for_its_crashes() {
    let request = [quarantine::SuspectId::Segment(COMMON), whole(99)];
    for (known, withdrawn, is_recorded, admitted) in
        [(3, 0, true, true), (3, 2, true, true), (3, 2, false, false), (2, 1, true, true)]
    {
        let quarantine = crash_in_turn(known, withdrawn, is_recorded);
        let rejection = quarantine.find_rejection(&request, at(4_000));
        let case = format!("{known} known, {withdrawn} withdrawn, recorded: {is_recorded}");
        expect_that!(rejection.is_none(), eq(admitted), "{case}: {rejection:?}");
        let guilty = [quarantine::SuspectId::Segment(COMMON), whole(1)];
        expect_that!(quarantine.find_rejection(&guilty, at(4_000)).is_some(), is_true(), "{case}");
    }
}

#[gtest]
fn whole_requests_are_rejected_by_what_is_known_of_their_crashes() {
    /// Servers, when the request was sent to each, and when each ended, in milliseconds.
    type Crashes = Vec<(u32, u64, u64)>;
    let one_after_the_other: Crashes = vec![(1, 0, 90), (2, 95, 180), (3, 190, 280)];
    let at_one_moment: Crashes = vec![(1, 0, 90), (2, 10, 95), (3, 20, 100)];
    let five_at_one_moment: Crashes =
        (1..=5).map(|n| (n, u64::from(n), 90 + u64::from(n))).collect();
    let table: [(&str, Crashes, bool, Option<bool>); 6] = [
        ("two crashes", one_after_the_other[..2].to_vec(), false, None),
        ("sent on after each crash", one_after_the_other.clone(), false, Some(true)),
        ("at one moment", at_one_moment, false, Some(false)),
        ("five at one moment", five_at_one_moment, false, Some(true)),
        ("another was lost as often", one_after_the_other.clone(), true, Some(false)),
        ("one run, noticed three times", vec![(1, 0, 90), (1, 0, 300), (1, 0, 700)], false, None),
    ];
    for (name, crashes, has_rival, expected) in table {
        let mut quarantine = quarantine::Quarantine::new(0.0);
        for (backend_hash, sent_at, ended_at) in crashes {
            let (sent_at, at) = (at(sent_at), at(ended_at));
            let crash = quarantine::Crash { backend_hash, started_ms: 1, sent_at, at };
            quarantine.record_crash(&[whole(1)], crash);
            if has_rival {
                quarantine.record_crash(&[whole(2)], crash);
            }
        }
        let rejection = quarantine.find_rejection(&[whole(1)], at(2_000));
        let is_guilty = rejection.map(|rejection| rejection.is_guilty);
        expect_that!(is_guilty, eq(expected), "{name}");
        quarantine.record_answer(&[whole(1)], at(1_000), at(1_100));
        expect_that!(quarantine.find_rejection(&[whole(1)], at(2_000)), none(), "{name}, answered");
    }
}

#[gtest]
fn only_requests_that_lost_a_server_are_kept_from_the_last_one() {
    let mut quarantine = quarantine::Quarantine::new(0.0);
    let (lost, other) = ([quarantine::SuspectId::Segment(COMMON), whole(1)], [whole(2)]);
    let (sent_at, at) = (at(900), at(1_000));
    let run = quarantine::Crash { backend_hash: 7, started_ms: 5, sent_at, at };
    quarantine.record_crash(&lost, run);
    expect_that!(quarantine.has_ended(7, run.started_ms), is_true());
    expect_that!(quarantine.has_ended(7, run.started_ms + 1), is_false());
    for (name, suspects, living, known, expected) in [
        ("two are left", &lost[..], 2, 3, true),
        ("one is left", &lost[..], 1, 3, false),
        ("none is known to live", &lost[..], 0, 3, false),
        ("the service has one", &lost[..], 1, 1, true),
        ("the service has one, which has ended", &lost[..], 0, 1, true),
        ("another request", &other[..], 1, 3, true),
        ("another request with the segment", &lost[..1], 1, 3, true),
    ] {
        expect_that!(quarantine.may_risk(suspects, living, known), eq(expected), "{name}");
    }
}

/// Crashes of a sound request that comes all the time, some under a guilty one and some alone.
#[gtest]
fn a_request_that_was_answered_until_its_crashes_is_rejected_only_for_those_that_count() {
    let (popular, guilty) = (whole(1), whole(2));
    let spread = |n: u64| (at(n * 1_000), at(n * 1_000 + 90));
    let at_once = |n: u64| (at(1_000), at(1_090 + n));
    /// Whether the popular request was lost at a crash, and whether the guilty one was.
    type Lost = [(bool, bool); 6];
    let both: Lost = [(true, true); 6];
    let more: Lost =
        [(true, true), (true, true), (true, false), (true, false), (false, false), (false, false)];
    let alone: Lost = [
        (true, false),
        (true, false),
        (true, false),
        (true, false),
        (false, false),
        (false, false),
    ];
    let table = [
        ("with the guilty one, answered just before", both, Some(900), false, None),
        ("with the guilty one, never answered", both, None, false, Some(true)),
        ("with the guilty one, answered long before", both, Some(1), false, Some(true)),
        ("more often than the guilty one", more, Some(900), false, None),
        ("alone", alone, Some(900), false, Some(true)),
        ("alone, at one moment", alone, Some(900), true, None),
        ("alone, at one moment, never answered", alone, None, true, Some(false)),
    ];
    for (name, lost, answered_ms, is_at_once, expected) in table {
        let mut quarantine = quarantine::Quarantine::new(0.0);
        if let Some(millis) = answered_ms {
            let began_at = if millis == 1 { at(0) - Duration::from_secs(10) } else { at(millis) };
            quarantine.remember_answer(popular, began_at);
        }
        for (n, (has_popular, has_guilty)) in (1_u64..).zip(lost) {
            let (sent_at, at) = if is_at_once { at_once(n) } else { spread(n) };
            let crash = quarantine::Crash { backend_hash: n as u32, started_ms: 1, sent_at, at };
            let suspects = [(has_guilty, guilty), (has_popular, popular)];
            for (_, suspect) in suspects.iter().filter(|(is_lost, _)| *is_lost) {
                quarantine.record_crash(&[*suspect], crash);
            }
        }
        let rejection = quarantine.find_rejection(&[popular], at(9_000));
        expect_that!(rejection.map(|rejection| rejection.is_guilty), eq(expected), "{name}");
        let is_risky = !quarantine.may_risk(&[popular], 1, 3);
        expect_that!(is_risky, eq(answered_ms != Some(900)), "{name}");
    }
}

#[gtest]
fn only_requests_that_were_not_answered_until_their_crashes_get_no_trial_after_the_hold() {
    for (answered_at, is_tried) in [(Some(at(900)), true), (None, false)] {
        let mut quarantine = quarantine::Quarantine::new(0.0);
        if let Some(answered_at) = answered_at {
            quarantine.remember_answer(whole(1), answered_at);
        }
        for n in 1..=6 {
            let (sent_at, at) = (at(n * 1_000), at(n * 1_000 + 90));
            let crash = quarantine::Crash { backend_hash: n as u32, started_ms: 1, sent_at, at };
            quarantine.record_crash(&[whole(1)], crash);
        }
        expect_that!(quarantine.admit(&[whole(1)], at(7_000)), err(anything()));
        let after_hold = quarantine.admit(&[whole(1)], at(700_000));
        expect_that!(after_hold.is_ok(), eq(is_tried), "answered at {answered_at:?}");
    }
}
