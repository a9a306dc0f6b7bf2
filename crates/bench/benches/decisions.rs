//! Criterion benches of the hot decisions, with a bound on the median.

use std::fs;
use std::hint;
use std::path;
use std::process;

use azuregap_bench::slopes;
use criterion::BenchmarkId;
use criterion::Criterion;

/// Most time that one admission or one choice may take at the median, in nanoseconds.
const MOST_NANOS: f64 = 2000.0;

/// Teams among which an admission is measured.
const TEAMS: [usize; 4] = [10, 100, 1000, 9200];

/// Replicas among which a choice is measured.
const REPLICAS: [usize; 3] = [9, 40, 320];

fn main() -> process::ExitCode {
    let out = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/bench/criterion");
    let mut criterion = Criterion::default().output_directory(&out).configure_from_args();
    let mut group = criterion.benchmark_group("admission");
    for teams in TEAMS {
        let mut admission = slopes::Admission::new(teams);
        group.bench_function(BenchmarkId::from_parameter(teams), |bencher| {
            bencher.iter(|| hint::black_box(&mut admission).step());
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("choice");
    for replicas in REPLICAS {
        let mut choosing = slopes::Choosing::new(replicas);
        group.bench_function(BenchmarkId::from_parameter(replicas), |bencher| {
            bencher.iter(|| hint::black_box(&mut choosing).step());
        });
    }
    group.finish();
    criterion.final_summary();
    let admissions = TEAMS.map(|teams| ("admission", teams));
    let choices = REPLICAS.map(|replicas| ("choice", replicas));
    let all = admissions.into_iter().chain(choices);
    let within = all.filter(|(group, size)| !is_within(&out, group, *size)).count() == 0;
    if within { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

/// Prints the median of a bench and whether it is within the bound.
fn is_within(out: &path::Path, group: &str, size: usize) -> bool {
    let file = out.join(format!("{group}/{size}/new/estimates.json"));
    let text = fs::read_to_string(file).unwrap_or_default();
    let estimates: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let Some(median) = estimates["median"]["point_estimate"].as_f64() else { return true };
    let within = median <= MOST_NANOS;
    let verdict = if within { "holds" } else { "BROKEN" };
    println!("{group} {size}: median {median:.0} ns, bound {MOST_NANOS:.0} ns, {verdict}");
    within
}
