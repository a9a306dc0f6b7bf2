//! Exclusive leadership: orders and reports under pauses, outages and lost responses.

mod support;

use std::cell;
use std::rc;
use std::time;

use azuregap_control::configuration;
use azuregap_control::holder;
use azuregap_control::orders;
use azuregap_control::peer_client;
use azuregap_control::placement;
use azuregap_control::process;
use azuregap_control::reports;
use azuregap_control::snapshot;
use azuregap_control::usage;
use azuregap_coordination::lease;
use azuregap_standins::faults;
use azuregap_standins::platform;
use azuregap_wire::control;
use azuregap_wire::frame;
use futures::future;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use tokio::sync::watch;

const WINDOW: time::Duration = time::Duration::from_secs(5);

/// Runs the leader duties of one entry.
async fn run_entry(platform: platform::Platform, process: process::Process, step: time::Duration) {
    let table = platform.table.client(support::TIMEOUT);
    let holder = holder::LeaseHandle::new("control", &process, lease::Timing::default());
    let (_resign, resigned) = watch::channel(false);
    let placement = placement(&platform, &holder, &process);
    let intake = platform.reports.client(support::TIMEOUT);
    let closer =
        reports::WindowCloser::new(holder.clone(), table.clone(), intake, support::windows(WINDOW));
    future::join3(
        holder::keep(holder, table, resigned),
        run_placement(placement, step),
        run_closer(closer, step),
    )
    .await;
}

fn placement(
    platform: &platform::Platform,
    holder: &holder::LeaseHandle,
    process: &process::Process,
) -> placement::Reconciler {
    let table = platform.table.client(support::TIMEOUT);
    let snapshot = snapshot::Handle::default();
    let source =
        configuration::Source::new(table, snapshot, configuration::UnresolvedChanges::default());
    let vms = platform.vms.client(support::TIMEOUT);
    let orders = platform.orders.client(support::TIMEOUT);
    let senders = orders::OrderSenders::new(orders, |_, _| async { Ok(()) });
    let answering = platform.clone();
    let client = peer_client::PeerClient::new(move |address, _| {
        let answer = idle(&answering, &address);
        async move { Some(answer) }
    });
    let (node, next) = (process.peer.node.clone(), rc::Rc::new(cell::Cell::new(0)));
    let ids = move || {
        next.set(next.get() + 1);
        format!("{:06}{node}", next.get())
    };
    placement::Reconciler::new(holder.clone(), source, vms, client, senders)
        .clock(support::clock())
        .ids(ids)
}

/// Returns the reply of an idle agent that has the newest configuration.
fn idle(platform: &platform::Platform, node: &str) -> control::Message {
    let body = control::Body::Draining { load: frame::Load::default(), unflushed: 0 };
    support::agent(node, 1).message(support::current(platform).version, body)
}

async fn run_placement(mut placement: placement::Reconciler, step: time::Duration) {
    loop {
        let _ = placement.reconcile().await;
        tokio::time::sleep(step).await;
    }
}

async fn run_closer(mut closer: reports::WindowCloser, step: time::Duration) {
    loop {
        let _ = closer.run_round().await;
        tokio::time::sleep(step).await;
    }
}

/// Records usage continuously.
async fn run_agent(platform: platform::Platform) {
    let process = support::agent("agent", 1);
    let recorder = usage::Recorder::default();
    let windows = support::windows(WINDOW);
    let table = platform.table.client(support::TIMEOUT);
    let held = recorder.clone();
    let writing =
        usage::run_writer(recorder.clone(), move || held.oldest(), table, process.clone(), windows);
    let counting = async {
        for id in 0.. {
            recorder.record(support::record(id, &process, windows.now(), "acme", 7));
            tokio::time::sleep(time::Duration::from_millis(700)).await;
        }
    };
    future::join(writing, counting).await;
}

/// Checks the invariants: no stale fencing token is accepted, the zone budget is respected and no
/// two reports of a window differ.
fn check(platform: &platform::Platform, spend: usize, what: &str) -> googletest::Result<()> {
    let orders = platform.orders.with(|state| (state.regressions(), state.running().len()));
    let reports = platform.reports.with(|state| (state.regressions(), state.differing()));
    verify_that!(orders.0, is_empty()).with_failure_message(|| what.to_owned())?;
    verify_that!(orders.1, le(spend)).with_failure_message(|| what.to_owned())?;
    verify_that!(reports.0, is_empty()).with_failure_message(|| what.to_owned())?;
    verify_that!(reports.1, is_empty()).with_failure_message(|| what.to_owned())
}

/// Runs two entries for `span`, concurrently with `events`, which injects faults.
async fn run(
    platform: &platform::Platform,
    span: time::Duration,
    step: time::Duration,
    events: impl AsyncFnOnce(&support::Freezer, &support::Freezer),
) {
    let (a, b) = (support::Freezer::new(), support::Freezer::new());
    let first = a.run(run_entry(platform.clone(), support::entry("a", 1), step));
    let second = b.run(run_entry(platform.clone(), support::entry("b", 2), step));
    let all = future::join5(
        first,
        second,
        run_agent(platform.clone()),
        support::boot(platform, time::Duration::from_secs(2)),
        events(&a, &b),
    );
    let _ = tokio::time::timeout(span, all).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn two_entries_start_declared_replicas_once() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &support::intent(3, 3));
    let span = time::Duration::from_secs(40);
    run(&platform, span, time::Duration::from_millis(200), async |_, _| {}).await;
    check(&platform, 3, "no faults")?;
    verify_that!(platform.orders.with(|state| state.running().len()), eq(3))?;
    verify_that!(platform.orders.with(|state| state.log().len()), eq(3))?;
    verify_that!(platform.reports.with(|state| state.log().len()), ge(4))
}

/// Freezes the lease holder at many points in time around its first orders and reports.
#[gtest]
#[tokio::test(start_paused = true)]
async fn paused_holder_never_acts_after_its_successor() -> googletest::Result<()> {
    let slow = faults::Faults::new()
        .delay(time::Duration::from_millis(7))
        .answer_delay(time::Duration::from_millis(5));
    let mut taken_over = 0;
    for terms in [0.5, 1.0, 3.0] {
        for at in (4_200..5_000).step_by(8) {
            let platform = platform::Platform::new();
            support::seed(&platform, &support::intent(2, 2));
            platform.table.set_faults(slow.clone());
            platform.orders.set_faults(slow.clone());
            platform.reports.set_faults(slow.clone());
            let freeze = lease::Timing::TERM.mul_f64(terms);
            let span = time::Duration::from_secs(24);
            run(&platform, span, time::Duration::from_millis(250), async |a, _| {
                tokio::time::sleep(time::Duration::from_millis(at)).await;
                a.freeze(freeze);
            })
            .await;
            check(&platform, 2, &format!("frozen for {terms} terms at {at} ms"))?;
            let running = platform.orders.with(|state| state.running().len());
            verify_that!(running, eq(2)).with_failure_message(|| format!("{terms} at {at}"))?;
            let fences = platform.reports.with(|state| state.log().last().map(|last| last.fence));
            taken_over += u32::from(fences > Some(1));
        }
    }
    verify_that!(taken_over, ge(50))
}

/// Generates random faults of one service. Only the table service delays calls and executes them
/// later: orders and reports that the platform delays beyond the send deadline are left to its own
/// check of fencing tokens.
fn random_faults(rng: &mut impl rand::Rng, can_hold: bool) -> faults::Faults {
    let delay = time::Duration::from_millis(rng.random_range(0..30));
    let slow = faults::Faults::new().delay(delay).answer_delay(delay);
    match rng.random_range(0..6) {
        0 => slow.lose(rng.random_range(1..4)),
        1 => slow.outage(true),
        2 => slow.refuse(true),
        3 => slow.freeze(can_hold),
        4 => slow.answer_delay(time::Duration::from_millis(rng.random_range(100..3_000))),
        _ => slow,
    }
}

/// Injects random pauses, outages, lost responses and slow services.
async fn inject_faults(
    platform: &platform::Platform,
    seed: u64,
    a: &support::Freezer,
    b: &support::Freezer,
) {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..14 {
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(50..3_000))).await;
        match rng.random_range(0..5) {
            0 => a.freeze(time::Duration::from_millis(rng.random_range(100..9_000))),
            1 => b.freeze(time::Duration::from_millis(rng.random_range(100..9_000))),
            2 => platform.orders.set_faults(random_faults(&mut rng, false)),
            3 => platform.reports.set_faults(random_faults(&mut rng, false)),
            _ => platform.table.set_faults(random_faults(&mut rng, true)),
        }
    }
    platform.table.set_faults(faults::Faults::new());
    platform.orders.set_faults(faults::Faults::new());
    platform.reports.set_faults(faults::Faults::new());
}

async fn check_schedules(seeds: std::ops::Range<u64>) -> googletest::Result<()> {
    for seed in seeds {
        let platform = platform::Platform::new();
        support::seed(&platform, &support::intent(2, 2));
        let span = time::Duration::from_secs(100);
        run(&platform, span, time::Duration::from_millis(500), async |a, b| {
            inject_faults(&platform, seed, a, b).await;
        })
        .await;
        check(&platform, 2, &format!("seed {seed}"))?;
        let running = platform.orders.with(|state| state.running().len());
        verify_that!(running, eq(2)).with_failure_message(|| format!("seed {seed}"))?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn random_fault_schedules_preserve_invariants_1_of_8() -> googletest::Result<()> {
    check_schedules(0..125).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn random_fault_schedules_preserve_invariants_2_of_8() -> googletest::Result<()> {
    check_schedules(125..250).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn random_fault_schedules_preserve_invariants_3_of_8() -> googletest::Result<()> {
    check_schedules(250..375).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn random_fault_schedules_preserve_invariants_4_of_8() -> googletest::Result<()> {
    check_schedules(375..500).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn random_fault_schedules_preserve_invariants_5_of_8() -> googletest::Result<()> {
    check_schedules(500..625).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn random_fault_schedules_preserve_invariants_6_of_8() -> googletest::Result<()> {
    check_schedules(625..750).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn random_fault_schedules_preserve_invariants_7_of_8() -> googletest::Result<()> {
    check_schedules(750..875).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn random_fault_schedules_preserve_invariants_8_of_8() -> googletest::Result<()> {
    check_schedules(875..1000).await
}

/// Returns the time until `second` holds the lease after `first` has crashed or released it.
async fn takeover(resigns: bool) -> time::Duration {
    let platform = platform::Platform::new();
    let table = platform.table.client(support::TIMEOUT);
    let terms = lease::Timing::default();
    let first = holder::LeaseHandle::new("control", &support::entry("a", 1), terms);
    let second = holder::LeaseHandle::new("control", &support::entry("b", 2), terms);
    let (resign, resigned) = watch::channel(false);
    let (_never, never) = watch::channel(false);
    let events = async {
        while first.fencing_token().is_none() {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        tokio::time::sleep(time::Duration::from_secs(10)).await;
        resign.send_replace(resigns);
        tokio::time::Instant::now()
    };
    let second_keeper = async {
        // Starts later, so that the first candidate acquires the lease.
        tokio::time::sleep(time::Duration::from_secs(5)).await;
        holder::keep(second.clone(), table.clone(), never).await;
    };
    let mut first_keeper = Box::pin(holder::keep(first.clone(), table.clone(), resigned));
    let mut second_keeper = Box::pin(second_keeper);
    let both = future::select(&mut first_keeper, &mut second_keeper);
    let future::Either::Left((gone, _)) = future::select(Box::pin(events), both).await else {
        panic!("a lease keeper ended unexpectedly");
    };
    let acquired = async {
        while second.fencing_token().is_none() {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
    };
    if resigns {
        future::select(Box::pin(acquired), future::join(first_keeper, second_keeper)).await;
    } else {
        drop(first_keeper);
        future::select(Box::pin(acquired), second_keeper).await;
    }
    gone.elapsed()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn successor_takes_over_within_lease_timing() -> googletest::Result<()> {
    let terms = lease::Timing::default();
    let (died, resigned) = (takeover(false).await, takeover(true).await);
    println!("takeover after a death {died:?}, after giving up {resigned:?}");
    let watched = terms.takeover_delay() + terms.send_deadline;
    verify_that!(died, le(watched + terms.interval))?;
    verify_that!(resigned, le(terms.send_deadline + terms.interval * 2))
}
