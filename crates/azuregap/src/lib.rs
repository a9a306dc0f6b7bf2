//! Facade of the azuregap libraries.
