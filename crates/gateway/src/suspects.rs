//! Records what crashes and answers show about suspects, logs it and passes it on; see
//! [`crate::decision::quarantine`].

use std::time::Duration;

use smallvec::SmallVec;

use crate::decision::quarantine;
use crate::state;

/// Maximum suspects of one request that get a log line each.
const MAX_LOGGED: usize = 16;

/// Source of what a gateway has found itself, in logs.
const OWN: &str = "own";

/// Records that the backend server of a request with these suspects has ended.
pub(crate) fn record_crash(
    state: &state::State,
    suspects: &[quarantine::SuspectId],
    crash: quarantine::Crash,
) {
    let before = counts(state, suspects);
    let is_news = state.quarantine.borrow_mut().record_crash(suspects, crash);
    log_changes(state, suspects, &before, OWN);
    if is_news {
        state.announce_news();
    }
}

/// Records an answer that clears suspects; it began at the time of day `began_at`.
pub(crate) fn record_answer(
    state: &state::State,
    suspects: &[quarantine::SuspectId],
    began_at: Duration,
) {
    let before = counts(state, suspects);
    let now = state.time_of_day();
    let is_news = state.quarantine.borrow_mut().record_answer(suspects, began_at, now);
    if is_news {
        log_changes(state, suspects, &before, OWN);
        state.announce_news();
    }
}

/// Records what another gateway tells; returns whether it is news.
pub(crate) fn record_told(
    state: &state::State,
    told: &[quarantine::Suspect],
    source: &str,
) -> bool {
    let ids: quarantine::Suspects = told.iter().map(|suspect| suspect.id).collect();
    let before = counts(state, &ids);
    let now = state.time_of_day();
    let is_news = state.quarantine.borrow_mut().merge(told, now);
    if is_news {
        log_changes(state, &ids, &before, source);
    }
    is_news
}

type Counts = SmallVec<[usize; 4]>;

/// Number of crashes of each suspect since its last answer.
fn counts(state: &state::State, suspects: &[quarantine::SuspectId]) -> Counts {
    let quarantine = state.quarantine.borrow();
    suspects.iter().map(|id| quarantine.crashes(id)).collect()
}

/// Logs which suspects have now crashed so many backend servers that they are kept from them, and which
/// of those an answer has cleared.
fn log_changes(
    state: &state::State,
    suspects: &[quarantine::SuspectId],
    before: &Counts,
    source: &str,
) {
    let (mut found, mut answered) = (0, 0);
    // The request itself is the last of its suspects, so it is always among those that are told.
    for (id, before) in suspects.iter().zip(before).rev() {
        let crashes = state.quarantine.borrow().crashes(id);
        if crashes > *before && crashes >= quarantine::REJECT_CRASHES {
            state.metrics.suspects_found.inc();
            found += 1;
            if found <= MAX_LOGGED {
                let (kind, suspect) = (id.kind(), id.to_string());
                tracing::warn!(kind, suspect, crashes, source, "suspect of crashes");
            }
        } else if crashes == 0 && *before >= quarantine::REJECT_CRASHES {
            answered += 1;
            if answered <= MAX_LOGGED {
                let (kind, suspect) = (id.kind(), id.to_string());
                tracing::info!(kind, suspect, source, "suspect of crashes was answered");
            }
        }
    }
    if found.max(answered) > MAX_LOGGED {
        tracing::warn!(found, answered, source, "many suspects of one request");
    }
}
