//! Continuous batching: which requests run in a step and how long it takes.

use std::time;

use tokio::sync::mpsc;

use super::cache;
use super::counters;
use super::faults;
use super::load;
use super::request;
use super::settings;

/// Requests of the engine, waiting and running.
#[derive(Debug)]
pub(crate) struct Batch {
    settings: settings::Settings,
    pub(crate) faults: faults::EngineFaults,
    pub(crate) cache: cache::Cache,
    pub(crate) counters: counters::Counters,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
}

#[derive(Debug)]
struct Sequence {
    job: request::Job,
    prefill: u32,
    next: u32,
    events: mpsc::UnboundedSender<request::Event>,
}

impl Sequence {
    fn is_done(&self) -> bool {
        self.prefill == 0 && self.next >= self.job.answer.tokens
    }

    fn generated(&self) -> u64 {
        u64::from(self.next - self.job.skip)
    }
}

impl Batch {
    pub(crate) fn new(settings: settings::Settings) -> Self {
        let cache = cache::Cache::new(settings.cache_tokens);
        Self {
            settings,
            faults: faults::EngineFaults::default(),
            cache,
            counters: counters::Counters::default(),
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Takes a run in.
    pub(crate) fn push(&mut self, job: request::Job) -> mpsc::UnboundedReceiver<request::Event> {
        let (events, receiver) = mpsc::unbounded_channel();
        let resumed = u64::from(job.skip > 0);
        self.counters.started += 1;
        self.counters.resumed += resumed;
        let run = self.counters.run(&job.id);
        run.started += 1;
        run.resumed += resumed;
        let next = job.skip.min(job.answer.tokens);
        self.waiting.push(Sequence { job, prefill: 0, next, events });
        receiver
    }

    /// Ends every run of `id`; answers how many there were.
    pub(crate) fn cancel(&mut self, id: &str) -> usize {
        let ended = self.take_out(|sequence| sequence.job.id == id);
        self.counters.cancelled += ended as u64;
        ended
    }

    /// Loses all work and the prefix cache.
    pub(crate) fn crash(&mut self) {
        let ended = self.take_out(|_| true);
        self.counters.lost += ended as u64;
        self.cache = cache::Cache::new(self.settings.cache_tokens);
    }

    /// Begins a step; gives its length, or none when there is nothing to do.
    pub(crate) fn begin(&mut self) -> Option<time::Duration> {
        let gone = self.take_out(|sequence| sequence.events.is_closed());
        self.counters.cancelled += gone as u64;
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let read = self.prefill();
        let decoding = self.running.iter().filter(|sequence| sequence.prefill == 0).count();
        let extra = u32::try_from(decoding.saturating_sub(1)).unwrap_or(u32::MAX);
        let percent = 100 + extra.saturating_mul(self.settings.batch_percent);
        let length = self.settings.prefill * read + self.settings.decode * percent / 100;
        Some(length * 100 / self.faults.speed_percent.max(1))
    }

    /// Ends a step: every request that has read its prompt gets one token.
    pub(crate) fn end(&mut self) {
        for sequence in &mut self.running {
            if sequence.prefill == 0 && sequence.next < sequence.job.answer.tokens {
                self.counters.generated += 1;
                let _ = sequence.events.send(request::Event::Token(sequence.next));
                sequence.next += 1;
            }
        }
        self.finish();
        if let Some(token) = self.faults.cut_at_token {
            let cut = self.take_out(|sequence| sequence.next >= token && sequence.next > 0);
            self.counters.lost += cut as u64;
        }
    }

    /// The load now.
    pub(crate) fn load(&self) -> load::EngineLoad {
        let all = self.running.iter().chain(&self.waiting);
        load::EngineLoad {
            running: self.running.len(),
            waiting: self.waiting.len(),
            slots: self.settings.slots,
            backlog: all.map(|one| u64::from(one.job.answer.tokens - one.next)).sum(),
        }
    }

    /// Fills free slots, by priority and then by arrival.
    fn admit(&mut self) {
        while self.running.len() < self.settings.slots {
            let order = self.waiting.iter().enumerate();
            let Some((i, _)) = order.min_by_key(|(i, one)| (one.job.priority, *i)) else { break };
            let mut sequence = self.waiting.remove(i);
            let answer = &sequence.job.answer;
            let cached = self.cache.visit(&answer.prompt).min(answer.prompt_tokens());
            self.counters.cached += u64::from(cached);
            sequence.prefill = answer.prompt_tokens() - cached + sequence.next;
            self.running.push(sequence);
        }
    }

    /// Reads prompts, up to the chunk of one step; answers how many tokens were read.
    fn prefill(&mut self) -> u32 {
        let mut left = self.settings.prefill_chunk;
        for sequence in &mut self.running {
            let read = sequence.prefill.min(left);
            sequence.prefill -= read;
            left -= read;
        }
        let read = self.settings.prefill_chunk - left;
        self.counters.prefilled += u64::from(read);
        read
    }

    fn finish(&mut self) {
        for sequence in self.running.extract_if(.., |sequence| sequence.is_done()) {
            self.counters.finished += 1;
            self.counters.run(&sequence.job.id).finished += 1;
            self.counters.prompt += u64::from(sequence.job.answer.prompt_tokens());
            self.counters.output += u64::from(sequence.job.answer.tokens);
            let _ = sequence.events.send(request::Event::End);
        }
    }

    fn take_out(&mut self, which: impl Fn(&Sequence) -> bool) -> usize {
        let waiting = self.waiting.extract_if(.., |one| which(one));
        let running = self.running.extract_if(.., |one| which(one));
        let ended: Vec<_> = waiting.chain(running).collect();
        for sequence in &ended {
            self.counters.wasted += sequence.generated();
            self.counters.run(&sequence.job.id).ended += 1;
        }
        ended.len()
    }
}
