//! `docs/METRICS.md` lists exactly the metrics that the code sends.

use std::collections;
use std::fs;
use std::path;

use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/METRICS.md");

/// Method calls that send a metric; the first argument is its name.
const CALLS: [&str; 3] = [".count(\"", ".time(\"", ".gauge(\""];

fn documented() -> collections::BTreeSet<String> {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `azuregap."));
    rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
}

fn collect(directory: &path::Path, names: &mut collections::BTreeSet<String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            for call in CALLS {
                let found = text.split(call).skip(1).filter_map(|rest| rest.split('"').next());
                names.extend(found.map(str::to_owned));
            }
        }
    }
}

#[gtest]
fn documented_metrics_match_the_code() {
    let crates = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut sent = collections::BTreeSet::new();
    for package in ["agent", "control", "entry"] {
        collect(&crates.join(package).join("src"), &mut sent);
    }
    expect_that!(documented(), eq(&sent));
    expect_that!(sent, not(is_empty()));
}
