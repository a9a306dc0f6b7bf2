//! Fields of the entries of a configuration.

/// A field of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Version of the configuration.
    Version,
    /// Maximum length of a request body.
    MaxBody,
    /// Name of an entry.
    Name,
    /// Host of a route.
    Host,
    /// Path prefix of a route.
    Prefix,
    /// Time-out of a route.
    Timeout,
    /// Latency target of a route.
    Target,
    /// Longest pause in a stream of a route.
    Gap,
    /// Number of backend servers on which a request may run.
    Attempts,
    /// Service of a route, or the services that share its requests.
    Services,
    /// Connections to a backend server of a service.
    Connections,
    /// Teams of the configuration.
    Teams,
    /// Keys of a team.
    Keys,
}
