//! The row of a window that is being closed or is closed.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// The row of a window that is being closed or is closed; it is absent while the window is open.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WindowRow {
    /// The window.
    pub window: ids::WindowId,
    /// How far the closing is.
    pub state: WindowState,
}

/// How far the closing of a window is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WindowState {
    /// No further batch can be inserted.
    Closing,
    /// This text is the report.
    Frozen(String),
    /// This text is the report, and it was acknowledged.
    Acknowledged(String),
}

impl WindowRow {
    /// Key of the row.
    #[must_use]
    pub fn key(window: ids::WindowId) -> String {
        format!("window/{window:012}")
    }

    /// The report, once it is frozen.
    #[must_use]
    pub fn report_text(&self) -> Option<&str> {
        match &self.state {
            WindowState::Closing => None,
            WindowState::Frozen(text) | WindowState::Acknowledged(text) => Some(text),
        }
    }
}
