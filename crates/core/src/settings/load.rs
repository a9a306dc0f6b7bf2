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

/// Reads a settings or intent document, naming the path of the first field at fault.
///
/// # Errors
///
/// [`LoadError::Invalid`] when the text is not JSON, has an unknown field or a wrong type.
pub fn from_text<T: de::DeserializeOwned>(text: &str) -> Result<T, LoadError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value: T = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        LoadError::Invalid(intent::Fault::new(
            path,
            code::Code::JsonInvalid,
            error.inner().to_string(),
        ))
    })?;
    reader.end().map_err(|error| {
        LoadError::Invalid(intent::Fault::new(".", code::Code::JsonInvalid, error.to_string()))
    })?;
    Ok(value)
}
