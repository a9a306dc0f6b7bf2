//! The life of a request in the model.

use std::time::Duration;

use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_policy::balancer;

use super::agent;
use super::engine;
use super::entry;
use super::request;
use super::simulation::Event;
use super::simulation::Simulation;

/// Time from an entry to an agent or back.
const HOP: Duration = Duration::from_micros(700);

/// Bytes of a prompt for each token.
const TOKEN_BYTES: f64 = 4.0;

impl Simulation<'_> {
    /// Chooses an agent for the request and sends it there.
    pub(super) fn send(&mut self, id: usize) {
        if self.requests[id].state != request::State::Open {
            return;
        }
        let arrival = self.arrivals[id];
        let work = &self.deployment.work[arrival.class];
        let wanted = entry::Wanted {
            pool: work.pool,
            prefix: arrival.prefix,
            probe: work.idempotent && (work.pool != 0 || work.class.tier > 0),
            tried: self.requests[id].tried.clone(),
        };
        self.requests[id].attempts += 1;
        match self.entries[arrival.entry].choose(self.now, &wanted, &self.agents) {
            Some(agent) => self.push(self.now + HOP, Event::Offer { id, agent }),
            None => self.requests[id].state = request::State::Refused,
        }
    }

    /// A request comes to an agent.
    pub(super) fn offer(&mut self, id: usize, agent: usize) {
        if self.requests[id].state != request::State::Open {
            return;
        }
        self.touch(agent);
        if !self.agents[agent].engine.up {
            return self.refuse(id, agent, down());
        }
        let job = self.job(id);
        let (refused, run) = self.agents[agent].offer(self.now, job);
        if refused.iter().all(|refused| refused.id != id) {
            self.requests[id].agent = Some(agent);
            self.requests[id].accepted = self.now;
            let load = self.agents[agent].load();
            self.push(self.now + HOP, Event::Accepted { id, agent, load });
        }
        for turned in refused {
            self.refuse(turned.id, agent, turned.refusal);
        }
        if run {
            self.start(id, agent);
        }
        self.pump(agent);
    }

    fn job(&self, id: usize) -> agent::Offered {
        let arrival = self.arrivals[id];
        let name = &self.deployment.work[arrival.class].class.name;
        let prompt = (arrival.prompt * TOKEN_BYTES) as u64;
        let estimator = &self.entries[arrival.entry].estimator;
        agent::Offered {
            id,
            class: arrival.class,
            team: self.deployment.teams[arrival.team].0.clone(),
            cost: estimator.cost("route", name, prompt, None),
            deadline: self.deadline(id),
        }
    }

    fn refuse(&mut self, id: usize, agent: usize, refusal: refusal::Refusal) {
        let load = self.agents[agent].load();
        self.push(self.now + HOP, Event::Refused { id, agent, refusal, load });
    }

    pub(super) fn accepted(&mut self, id: usize, agent: usize, load: balancer::Load) {
        let entry = &mut self.entries[self.arrivals[id].entry];
        entry.observe(self.now, &self.agents[agent], balancer::Observation::Accepted);
        entry.report(self.now, &self.agents[agent], load);
    }

    pub(super) fn refused(
        &mut self,
        id: usize,
        agent: usize,
        refusal: refusal::Refusal,
        load: balancer::Load,
    ) {
        let taken = self.requests[id].agent.take().is_some();
        let seen = match refusal.code {
            code::Code::BackendFailed => balancer::Observation::Unreachable,
            _ if taken => balancer::Observation::Done,
            _ => balancer::Observation::Refused,
        };
        let entry = &mut self.entries[self.arrivals[id].entry];
        entry.observe(self.now, &self.agents[agent], seen);
        entry.report(self.now, &self.agents[agent], load);
        self.retry(id, agent, refusal, request::State::Refused);
    }

    /// An answer came to its end at the entry.
    pub(super) fn ended(&mut self, id: usize, agent: usize, load: balancer::Load) {
        let arrival = self.arrivals[id];
        let work = &self.deployment.work[arrival.class];
        let entry = &mut self.entries[arrival.entry];
        if !self.deployment.pools[work.pool].model {
            let over = self.now - self.requests[id].accepted;
            let seen = balancer::Observation::Progress { tokens: 1, elapsed: over };
            entry.observe(self.now, &self.agents[agent], seen);
        }
        entry.observe(self.now, &self.agents[agent], balancer::Observation::Done);
        entry.report(self.now, &self.agents[agent], load);
        entry.estimator.observe("route", &work.class.name, arrival.output as u64);
        entry.budgets.record_success(&self.deployment.teams[arrival.team].0);
    }

    pub(super) fn broken(&mut self, id: usize, agent: usize) {
        let entry = &mut self.entries[self.arrivals[id].entry];
        entry.observe(self.now, &self.agents[agent], balancer::Observation::Interrupted);
        let refusal = refusal::Refusal::may_have_run(code::Code::AnswerCut, "the engine crashed");
        self.retry(id, agent, refusal, request::State::Failed);
    }

    fn retry(
        &mut self,
        id: usize,
        agent: usize,
        refusal: refusal::Refusal,
        otherwise: request::State,
    ) {
        if self.requests[id].state != request::State::Open {
            return;
        }
        let arrival = self.arrivals[id];
        let idempotent = self.deployment.work[arrival.class].idempotent;
        let (count, deadline) = (self.requests[id].attempts, self.deadline(id));
        let attempt = entry::attempt(self.base, deadline, count, idempotent, refusal);
        self.requests[id].tried.push(agent);
        let team = &self.deployment.teams[arrival.team].0;
        match self.entries[arrival.entry].retry(self.now, team, attempt) {
            Some(after) => self.push(self.now + after, Event::Send(id)),
            None => self.requests[id].state = otherwise,
        }
    }

    /// Moves an engine to the present and acts on what happened there.
    pub(super) fn touch(&mut self, agent: usize) {
        for event in self.agents[agent].engine.advance(self.now) {
            match event {
                engine::Event::First(id) => self.first_token(id, agent),
                engine::Event::Done(id) => self.done(id, agent),
            }
        }
        self.pump(agent);
    }

    /// Starts what can start, and sets the time at which the engine is looked at again.
    fn pump(&mut self, agent: usize) {
        while let Some(id) = self.agents[agent].next(self.now) {
            self.start(id, agent);
        }
        self.agents[agent].epoch += 1;
        let epoch = self.agents[agent].epoch;
        if let Some(at) = self.agents[agent].engine.wake() {
            self.push(at, Event::Wake { agent, epoch });
        }
    }

    fn start(&mut self, id: usize, agent: usize) {
        let arrival = self.arrivals[id];
        let request = &mut self.requests[id];
        request.running = true;
        request.observed = -1.0;
        self.running.insert(id);
        let (prompt, output) = (arrival.prompt + request.delivered, arrival.output);
        let left = (output - request.delivered).max(1.0);
        let model = self.deployment.pools[self.agents[agent].pool].model;
        if model {
            request.spent += prompt;
            self.lookups += 1;
        }
        let hit = self.agents[agent].engine.start(id, prompt, left, arrival.prefix);
        self.hits += u64::from(hit);
    }

    fn first_token(&mut self, id: usize, agent: usize) {
        let arrival = self.arrivals[id];
        let request = &mut self.requests[id];
        request.first.get_or_insert(self.now + HOP - arrival.at);
        let after = self.now - request.accepted;
        let seen = balancer::Observation::FirstByte { elapsed: after };
        self.entries[arrival.entry].observe(self.now, &self.agents[agent], seen);
    }

    fn done(&mut self, id: usize, agent: usize) {
        self.stop(id, agent, 0.0);
        let end = self.now + HOP - self.arrivals[id].at;
        let request = &mut self.requests[id];
        request.first.get_or_insert(end);
        request.end = Some(end);
        request.state = request::State::Whole;
        let load = self.agents[agent].load();
        self.push(self.now + HOP, Event::Ended { id, agent, load });
    }

    /// Frees the slot of a request that has `left` tokens to generate, and counts its tokens.
    fn stop(&mut self, id: usize, agent: usize, left: f64) {
        let arrival = self.arrivals[id];
        let request = &mut self.requests[id];
        let delivered = (arrival.output - left).max(request.delivered);
        request.spent += delivered - request.delivered;
        request.delivered = delivered;
        request.running = false;
        request.agent = None;
        self.running.remove(&id);
        let cost = arrival.prompt + delivered;
        self.agents[agent].finish(self.now, id, cost);
    }

    /// The caller's deadline passes.
    pub(super) fn give_up(&mut self, id: usize) {
        if self.requests[id].state != request::State::Open {
            return;
        }
        self.requests[id].state = request::State::Failed;
        let Some(agent) = self.requests[id].agent else { return };
        if self.requests[id].running {
            let left = self.agents[agent].engine.left(id);
            self.agents[agent].engine.cancel(id);
            self.stop(id, agent, left.unwrap_or(self.arrivals[id].output));
        } else {
            self.agents[agent].cancel(id);
            self.requests[id].agent = None;
        }
        let entry = &mut self.entries[self.arrivals[id].entry];
        entry.observe(self.now, &self.agents[agent], balancer::Observation::Done);
        self.touch(agent);
    }

    /// An engine loses all work; the agent beside it goes on.
    pub(super) fn crash(&mut self, agent: usize) {
        self.touch(agent);
        let here = |id: &usize| self.requests[*id].agent == Some(agent);
        let lost: Vec<usize> = self.running.iter().copied().filter(here).collect();
        for id in lost {
            let left = self.agents[agent].engine.left(id);
            self.stop(id, agent, left.unwrap_or(self.arrivals[id].output));
            self.push(self.now + HOP, Event::Broken { id, agent });
        }
        self.agents[agent].engine.crash();
        for id in self.agents[agent].waiting() {
            self.agents[agent].cancel(id);
            self.refuse(id, agent, down());
        }
    }
}

fn down() -> refusal::Refusal {
    refusal::Refusal::not_run(code::Code::BackendFailed, "the backend server does not answer")
}
