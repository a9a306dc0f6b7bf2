//! Buffer of a response that is still being produced and can be read from any offset it holds.

use std::sync;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_wire::frame;
use azuregap_wire::run;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::watch;

/// Largest response that is buffered, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Largest payload of one data frame, in bytes.
const MAX_FRAME_BYTES: usize = 256 * 1024;

/// How a response ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// All bytes were produced.
    Complete(frame::Usage),
    /// The request was refused or failed.
    Failed(refusal::Refusal),
}

/// Status and headers of a response.
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

/// One response, shared by the run that writes it and the connections that read it.
#[derive(Debug)]
pub struct ResponseBuffer {
    /// Id of the request.
    pub id: ids::RequestId,
    /// Offset of the first buffered byte; above 0 if another replica produced the bytes before it.
    pub start_offset: u64,
    content: sync::Mutex<Content>,
    updates: watch::Sender<()>,
}

/// Read position of one connection.
#[derive(Clone, Debug)]
pub struct Cursor {
    /// Offset of the next byte to send.
    pub offset: u64,
    accepted_sent: bool,
    head_sent: bool,
    ended: bool,
}

impl Cursor {
    /// A reader that already received the first `offset` bytes.
    #[must_use]
    pub const fn new(offset: u64) -> Self {
        Self { offset, accepted_sent: false, head_sent: false, ended: false }
    }

    /// Whether the last frame was returned.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended
    }
}

/// Identity and load of the agent, sent in frames.
#[derive(Clone, Copy, Debug)]
pub struct AgentInfo {
    /// Incarnation of the agent process.
    pub incarnation: ids::Incarnation,
    /// Version of the configuration in force.
    pub version: ids::Version,
    /// Current load.
    pub load: frame::Load,
}

impl ResponseBuffer {
    /// Creates an empty buffer for request `id` whose first `start_offset` bytes were sent by
    /// another replica.
    #[must_use]
    pub fn new(id: ids::RequestId, start_offset: u64) -> Self {
        Self { id, start_offset, content: sync::Mutex::default(), updates: watch::Sender::new(()) }
    }

    /// Receiver that is notified whenever the response grew or ended.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.updates.subscribe()
    }

    /// Number of connections that read the response.
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

    /// Usage so far.
    #[must_use]
    pub fn usage(&self) -> frame::Usage {
        self.lock().usage
    }

    /// Sets the usage so far.
    pub fn set_usage(&self, usage: frame::Usage) {
        self.lock().usage = usage;
    }

    /// Appends bytes and sets the usage up to them; returns false if the response would become too
    /// large.
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

    /// Ends the response; only the first outcome is kept.
    pub fn finish(&self, outcome: Outcome) {
        self.lock().outcome.get_or_insert(outcome);
        self.updates.send_replace(());
    }

    /// Whether the response ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.lock().outcome.is_some()
    }

    /// Whether the request ran or may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        !matches!(&self.lock().outcome, Some(Outcome::Failed(refusal)) if refusal.not_run)
    }

    /// The next frame for a reader, or none if no frame is available yet or the last one was
    /// returned.
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

/// Builds the frame that refuses a request.
#[must_use]
pub const fn refusal_frame(refusal: refusal::Refusal, load: frame::Load) -> frame::Frame {
    frame::Frame::Refused { refusal, load }
}
