//! What part of a load is of which kind.

use std::time;

/// Longest load.
const MAX_DURATION: time::Duration = time::Duration::from_secs(600);

/// One kind of request and its weight among the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Share {
    /// Class of the model, or a path that is read by GET.
    pub(crate) name: String,
    /// Weight.
    pub(crate) weight: u32,
}

/// Reads `NAME=WEIGHT`, or `NAME` for a weight of 1.
pub(crate) fn parse_share(text: &str) -> Result<Share, String> {
    let (name, weight) = text.rsplit_once('=').unwrap_or((text, "1"));
    let weight = weight.parse().ok().filter(|weight| *weight > 0);
    match weight {
        Some(weight) if !name.is_empty() => Ok(Share { name: name.to_owned(), weight }),
        _ => Err("expected NAME=WEIGHT with a whole weight of at least 1".to_owned()),
    }
}

/// Reads a duration such as `10s` and holds it to the limit.
pub(crate) fn parse_duration(text: &str) -> Result<time::Duration, String> {
    let duration = humantime::parse_duration(text).map_err(|error| error.to_string())?;
    if duration.is_zero() || duration > MAX_DURATION {
        return Err("expected more than 0s and at most 10m".to_owned());
    }
    Ok(duration)
}
