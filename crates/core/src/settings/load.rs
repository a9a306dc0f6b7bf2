//! Parsing of settings and intents from JSON.

use quick_error::quick_error;
use serde::de;

use crate::code;
use crate::intent;

quick_error! {
    /// Error of [`from_text`].
    #[derive(Debug)]
    pub enum LoadError {
        /// The text is not valid JSON or does not match the schema.
        Invalid(fault: intent::Fault) {
            display("{}: at '{}': {}", fault.code.number(), fault.path, fault.expected)
        }
    }
}

/// Descriptions of the expected value by field name suffix, for error messages.
const EXPECTED_BY_SUFFIX: [(&str, &str); 9] = [
    ("_ms", "a whole number of milliseconds"),
    ("_s", "a whole number of seconds"),
    ("spend", "a whole number of millionths of the currency unit an hour"),
    ("price", "a whole number of millionths of the currency unit an hour"),
    ("digest", "64 hexadecimal digits, the SHA-256 of a key"),
    ("listen", "an IP number and a port, such as '10.0.0.5:8080'"),
    ("operators", "an IP number and a port, such as '10.0.0.5:8080'"),
    ("control", "an IP number and a port, such as '10.0.0.5:8080'"),
    ("statsd", "an IP number and a port, such as '10.0.0.6:8125'"),
];

/// Parses a settings or intent document; an error names the path of the first invalid field.
///
/// # Errors
///
/// Returns [`LoadError::Invalid`] if the text is not JSON or has an unknown field or a wrong type.
pub fn from_text<T: de::DeserializeOwned>(text: &str) -> Result<T, LoadError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value: T = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        let description = describe(&path, error.inner());
        LoadError::Invalid(intent::Fault::new(path, code::Code::JsonInvalid, description))
    })?;
    deserializer.end().map_err(|error| {
        LoadError::Invalid(intent::Fault::new(".", code::Code::JsonInvalid, error.to_string()))
    })?;
    Ok(value)
}

/// Describes the error and, if the field's suffix is known, the expected value.
fn describe(path: &str, error: &serde_json::Error) -> String {
    let message = error.to_string();
    if message.starts_with("unknown field") {
        return message;
    }
    let expected = EXPECTED_BY_SUFFIX.iter().find(|(suffix, _)| path.ends_with(suffix));
    expected.map_or(message.clone(), |(_, expected)| format!("{message}; expected {expected}"))
}
