//! What a process may use of its VM.

/// Resources of a VM that a process may use; `None` where the settings name no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Memory, in bytes.
    pub memory: Option<usize>,
    /// Open descriptors, files and sockets together.
    pub descriptors: Option<u32>,
    /// Bandwidth of its link, in bytes per second.
    pub link_rate: Option<f64>,
}
