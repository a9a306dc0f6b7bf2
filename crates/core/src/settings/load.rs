//! Reading settings and intents from JSON text.

use quick_error::quick_error;
use serde::de;

use crate::code;
use crate::intent;

quick_error! {
    /// Why a JSON text was not taken.
    #[derive(Debug)]
    pub enum LoadError {
        /// The text is not JSON of the expected shape.
        Invalid(fault: intent::Fault) {
            display("{}: at '{}': {}", fault.code.number(), fault.path, fault.expected)
        }
    }
}

/// What fields of a certain ending hold, for messages.
const EXPECTED: [(&str, &str); 9] = [
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

/// Reads a settings or intent document, naming the path of the first field at fault.
///
/// # Errors
///
/// [`LoadError::Invalid`] when the text is not JSON, has an unknown field or a wrong type.
pub fn from_text<T: de::DeserializeOwned>(text: &str) -> Result<T, LoadError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value: T = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        let told = describe(&path, error.inner());
        LoadError::Invalid(intent::Fault::new(path, code::Code::JsonInvalid, told))
    })?;
    reader.end().map_err(|error| {
        LoadError::Invalid(intent::Fault::new(".", code::Code::JsonInvalid, error.to_string()))
    })?;
    Ok(value)
}

/// What is wrong and, where the field is known, what belongs there.
fn describe(path: &str, error: &serde_json::Error) -> String {
    let told = error.to_string();
    if told.starts_with("unknown field") {
        return told;
    }
    let expected = EXPECTED.iter().find(|(ending, _)| path.ends_with(ending));
    expected.map_or(told.clone(), |(_, expected)| format!("{told}; expected {expected}"))
}
