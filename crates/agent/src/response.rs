//! An answer as it grows, kept so that it can be read again from any offset.

use std::sync;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_wire::frame;
use azuregap_wire::run;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::watch;

/// Largest answer kept, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Most bytes put into one frame.
const MAX_FRAME_BYTES: usize = 256 * 1024;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is whole.
    Complete(frame::Usage),
    /// It was refused or failed.
    Failed(refusal::Refusal),
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<run::Header>,
}

#[derive(Debug, Default)]
struct Content {
    head: Option<Head>,
    bytes: BytesMut,
    usage: frame::Usage,
    outcome: Option<Outcome>,
}

/// One growing answer, shared by the run that writes it and the connections that read it.
#[derive(Debug)]
pub struct ResponseBuffer {
    /// The request it answers.
    pub id: ids::RequestId,
    /// Offset of the first byte kept; above 0 when another replica produced the start.
    pub start_offset: u64,
    content: sync::Mutex<Content>,
    updates: watch::Sender<()>,
}

/// Where one reader of an answer stands.
#[derive(Clone, Debug)]
pub struct Cursor {
    /// Offset of the next byte to send.
    pub offset: u64,
    accepted_sent: bool,
    head_sent: bool,
    ended: bool,
}

impl Cursor {
    /// A reader that has the first `offset` bytes.
    #[must_use]
    pub const fn new(offset: u64) -> Self {
        Self { offset, accepted_sent: false, head_sent: false, ended: false }
    }

    /// Whether the last frame was handed out.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended
    }
}

/// What an agent tells of itself on frames.
#[derive(Clone, Copy, Debug)]
pub struct AgentInfo {
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// Version of its configuration.
    pub version: ids::Version,
    /// Its load.
    pub load: frame::Load,
}

impl ResponseBuffer {
    /// An answer to request `id` of which the first `base` bytes were given elsewhere.
    #[must_use]
    pub fn new(id: ids::RequestId, start_offset: u64) -> Self {
        Self { id, start_offset, content: sync::Mutex::default(), updates: watch::Sender::new(()) }
    }

    /// Wakes whenever the answer grew or ended.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.updates.subscribe()
    }

    /// How many connections read the answer.
    #[must_use]
    pub fn readers(&self) -> usize {
        self.updates.receiver_count()
    }

    /// Sets status and headers.
    pub fn set_head(&self, head: Head) {
        self.lock().head = Some(head);
        self.updates.send_replace(());
    }

    /// Whether status and headers are known.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.lock().head.is_some()
    }

    /// What was used so far.
    #[must_use]
    pub fn usage(&self) -> frame::Usage {
        self.lock().usage
    }

    /// Sets what was used so far.
    pub fn set_usage(&self, usage: frame::Usage) {
        self.lock().usage = usage;
    }

    /// Adds bytes, with what was used up to them; answers false when the answer became too large.
    #[must_use]
    pub fn append(&self, bytes: &[u8], usage: frame::Usage) -> bool {
        let mut content = self.lock();
        content.usage = usage;
        if content.bytes.len() + bytes.len() > MAX_RESPONSE_BYTES {
            return false;
        }
        content.bytes.extend_from_slice(bytes);
        drop(content);
        self.updates.send_replace(());
        true
    }

    /// Ends the answer; the first end counts.
    pub fn finish(&self, outcome: Outcome) {
        self.lock().outcome.get_or_insert(outcome);
        self.updates.send_replace(());
    }

    /// Whether the answer ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.lock().outcome.is_some()
    }

    /// Whether anything ran for the answer, as far as can be known.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        !matches!(&self.lock().outcome, Some(Outcome::Failed(refusal)) if refusal.not_run)
    }

    /// The next frame for a reader, or none when it has to wait.
    #[must_use]
    pub fn next_frame(&self, cursor: &mut Cursor, agent_info: AgentInfo) -> Option<frame::Frame> {
        let content = self.lock();
        if cursor.ended {
            return None;
        }
        if cursor.offset < self.start_offset {
            cursor.ended = true;
            let text = format!("the answer starts at {}, not {}", self.start_offset, cursor.offset);
            let refusal = refusal::Refusal::may_have_run(code::Code::AnswerCut, text);
            return Some(refusal_frame(refusal, agent_info.load));
        }
        let is_drained = cursor.offset >= self.start_offset + content.bytes.len() as u64;
        if let Some(Outcome::Failed(refusal)) = &content.outcome
            && (!cursor.accepted_sent || is_drained)
        {
            cursor.ended = true;
            return Some(refusal_frame(refusal.clone(), agent_info.load));
        }
        if !cursor.accepted_sent {
            cursor.accepted_sent = true;
            let AgentInfo { incarnation, version, load } = agent_info;
            return Some(frame::Frame::Accepted { id: self.id, incarnation, version, load });
        }
        let head = content.head.as_ref()?;
        if !cursor.head_sent {
            cursor.head_sent = true;
            return Some(frame::Frame::Head { status: head.status, headers: head.headers.clone() });
        }
        self.next_data(&content, cursor, agent_info)
    }

    fn next_data(
        &self,
        content: &Content,
        cursor: &mut Cursor,
        agent_info: AgentInfo,
    ) -> Option<frame::Frame> {
        let start = (cursor.offset - self.start_offset) as usize;
        let unsent = content.bytes.get(start..).unwrap_or_default();
        if !unsent.is_empty() {
            let bytes = Bytes::copy_from_slice(&unsent[..unsent.len().min(MAX_FRAME_BYTES)]);
            let offset = cursor.offset;
            cursor.offset += bytes.len() as u64;
            return Some(frame::Frame::Data { offset, bytes });
        }
        let Some(Outcome::Complete(usage)) = &content.outcome else { return None };
        cursor.ended = true;
        let length = self.start_offset + content.bytes.len() as u64;
        Some(frame::Frame::End { length, usage: *usage, load: agent_info.load })
    }

    fn lock(&self) -> sync::MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The frame that refuses a request.
#[must_use]
pub const fn refusal_frame(refusal: refusal::Refusal, load: frame::Load) -> frame::Frame {
    frame::Frame::Refused { refusal, load }
}
