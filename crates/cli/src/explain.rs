//! Explains from logs alone what happened: to one request, or in a period of trouble.

mod cause;
mod incident;
mod line;
mod report;
mod story;

pub(crate) use incident::Incident;
pub(crate) use line::Line;
pub(crate) use line::read;
pub(crate) use report::Report;
pub(crate) use story::Story;
