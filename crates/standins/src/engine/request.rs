//! Work for the engine.

use serde::Deserialize;

use super::text;

/// Tokens of an answer whose request does not say how many.
const DEFAULT_TOKENS: u32 = 16;

/// One run for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Id of the request.
    pub id: String,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// Tokens at the start of the answer that are not generated again.
    pub skip: u32,
    /// The answer to be given.
    pub answer: text::Answer,
}

/// What happens to a run; a run that ends without [`Event::End`] was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The token of this number was generated.
    Token(u32),
    /// All tokens were generated.
    End,
}

/// Body of a completion request.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Body {
    model: String,
    messages: Option<Vec<Message>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct Message {
    content: serde_json::Value,
}

impl Body {
    /// The answer this request gets.
    pub(crate) fn answer(self) -> text::Answer {
        let chat = self.messages.is_some();
        let texts = self.messages.unwrap_or_default().into_iter().map(Message::text);
        let prompt = self.prompt.into_iter().chain(texts).collect::<Vec<_>>().join("\n");
        let tokens = self.max_tokens.unwrap_or(DEFAULT_TOKENS);
        text::Answer { model: self.model, chat, prompt, tokens }
    }
}

impl Message {
    fn text(self) -> String {
        match self.content {
            serde_json::Value::String(text) => text,
            other => other.to_string(),
        }
    }
}
