//! The window row.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Durable state of a closing or closed window; absent while the window is open.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WindowRow {
    /// Window.
    pub window: ids::WindowId,
    /// State of the closing.
    pub state: WindowState,
}

/// State of the closing of a window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WindowState {
    /// The window is being closed: no further batches can be inserted.
    Closing,
    /// The report is final, with this text.
    Frozen(String),
    /// The report with this text was acknowledged.
    Acknowledged(String),
}

impl WindowRow {
    /// Key of the row.
    #[must_use]
    pub fn key(window: ids::WindowId) -> String {
        format!("window/{window:012}")
    }

    /// Text of the report, once it is frozen.
    #[must_use]
    pub fn report_text(&self) -> Option<&str> {
        match &self.state {
            WindowState::Closing => None,
            WindowState::Frozen(text) | WindowState::Acknowledged(text) => Some(text),
        }
    }
}
