//! What a gateway does on the thread that serves all requests for one with many prompt segments.

use std::hint;
use std::time::Duration;

use azuregap_gateway::codec;
use azuregap_gateway::decision::prefix_cache;
use azuregap_gateway::decision::quarantine;
use tokio::time;

/// Numbers of segments; the largest fills a head of 16 KiB.
const SIZES: [u64; 7] = [10, 100, 300, 600, 1_000, 1_400, 1_800];

/// Suspects of other requests, which fill the records.
const OTHERS: u64 = 2_000;

/// Backend servers of a service.
const SERVERS: usize = 12;

fn crash(number: u32) -> quarantine::Crash {
    let at = Duration::from_secs(1_000 + u64::from(number));
    quarantine::Crash { backend_hash: number, started_ms: 1, sent_at: at, at }
}

fn suspects(segments: u64) -> quarantine::Suspects {
    (0..segments).map(quarantine::SuspectId::Segment).collect()
}

/// A quarantine with full records, in which a prompt has crashed three servers and others some of them
/// and more.
fn full_quarantine(segments: u64) -> quarantine::Quarantine {
    let mut quarantine = quarantine::Quarantine::new(0.0);
    let others = 10_000..10_000 + OTHERS;
    let others: quarantine::Suspects = others.map(quarantine::SuspectId::Segment).collect();
    for (number, chunk) in (0..).zip(others.chunks(100)) {
        for offset in 0..3 {
            quarantine.record_crash(chunk, crash(number + offset));
        }
    }
    for number in 0..3 {
        quarantine.record_crash(&suspects(segments), crash(number));
    }
    quarantine
}

fn judge(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("judge");
    for size in SIZES {
        let (quarantine, own) = (full_quarantine(size), suspects(size));
        let now = Duration::from_secs(1_010);
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter(|| hint::black_box(quarantine.find_rejection(&own, now)));
        });
    }
    group.finish();
}

fn record(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("record_crash");
    for size in SIZES {
        let own = suspects(size);
        let full = || (full_quarantine(0), suspects(size));
        let crash_all = |(mut quarantine, own): (quarantine::Quarantine, quarantine::Suspects)| {
            quarantine.record_crash(&own, crash(9));
            quarantine
        };
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter_batched(full, crash_all, criterion::BatchSize::SmallInput);
        });
        let mut quarantine = full_quarantine(size);
        group.bench_function(format!("answer/{size}"), |bencher| {
            bencher.iter(|| {
                let at = Duration::from_secs(2_000);
                hint::black_box(quarantine.record_answer(&own, at, at))
            });
        });
    }
    group.finish();
}

fn tell(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("tell");
    for size in SIZES {
        let mut quarantine = full_quarantine(size);
        let told = quarantine.tell(Duration::from_secs(1_004));
        group.bench_function(size.to_string(), |bencher| {
            bencher.iter(|| hint::black_box(quarantine.tell(Duration::from_secs(1_004))));
        });
        group.bench_function(format!("merge/{size}"), |bencher| {
            let now = Duration::from_secs(1_004);
            bencher.iter(|| hint::black_box(quarantine.merge(&told, now)));
        });
    }
    group.finish();
}

fn place(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("prefix_cache");
    for size in SIZES {
        let segments: Vec<_> = (0..size).map(|id| codec::Segment { id, tokens: 16 }).collect();
        let now = time::Instant::now();
        let mut caches = vec![prefix_cache::PrefixCache::new(); SERVERS];
        for cache in &mut caches {
            cache.insert(&segments, now);
        }
        group.bench_function(format!("lookup/{size}"), |bencher| {
            bencher.iter(|| {
                let cached = caches.iter().map(|cache| cache.cached_tokens(&segments, now));
                hint::black_box(cached.sum::<u64>())
            });
        });
        group.bench_function(format!("insert/{size}"), |bencher| {
            bencher.iter(|| caches[0].insert(hint::black_box(&segments), now));
        });
    }
    group.finish();
}

criterion::criterion_group!(benches, judge, record, tell, place);
criterion::criterion_main!(benches);
