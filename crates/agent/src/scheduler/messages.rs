//! Messages that the scheduler handles.

use std::sync;

use actix::fut;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_wire::control;
use azuregap_wire::run as wire_run;

use super::SWEEP_INTERVAL;
use super::Scheduler;
use super::run;
use crate::response;

/// Submits a request; a known id joins the existing run.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Result<sync::Arc<response::ResponseBuffer>, refusal::Refusal>")]
pub struct Submit(pub wire_run::RunRequest);

impl actix::Handler<Submit> for Scheduler {
    type Result = Result<sync::Arc<response::ResponseBuffer>, refusal::Refusal>;

    fn handle(&mut self, Submit(request): Submit, ctx: &mut Self::Context) -> Self::Result {
        let (id, team, class) = (request.id, request.team.clone(), request.class.clone());
        let result = self.submit(request, ctx);
        let refusal = result.as_ref().err();
        let code = refusal.map_or(0, |refusal| refusal.code.number());
        self.dependencies.metrics.count("agent.requests", &class, code);
        tracing::info!(
            request = format!("{id:032x}"),
            team,
            class,
            decision = if refusal.is_some() { "refused" } else { "taken" },
            code = refusal.map(|refusal| refusal.code.number()),
            why = refusal.map(|refusal| refusal.message.as_str()),
            running = self.queue.running(),
            waiting = self.queue.waiting(),
            "queue decision"
        );
        result
    }
}

/// Resumes a response. An unknown id that is reported as not run is recorded, so that a later
/// submission of it is refused.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Result<sync::Arc<response::ResponseBuffer>, refusal::Refusal>")]
pub struct Resume(pub wire_run::ResumeRequest);

impl actix::Handler<Resume> for Scheduler {
    type Result = Result<sync::Arc<response::ResponseBuffer>, refusal::Refusal>;

    fn handle(&mut self, Resume(request): Resume, _: &mut Self::Context) -> Self::Result {
        if request.incarnation != self.incarnation() {
            let text = "the agent was restarted; what the earlier one ran is not known";
            return Err(refusal::Refusal::may_have_run(code::Code::RunUnknown, text));
        }
        if let Some(run) = self.runs.get(&request.id) {
            return Ok(run.response.clone());
        }
        let may_be_forgotten = self.history_lost && !request.recent;
        let tombstone = self.tombstones.get(&request.id);
        if tombstone.is_some_and(|tombstone| tombstone.ran)
            || (tombstone.is_none() && may_be_forgotten)
        {
            let text = "whether the request ran is not known here any more";
            return Err(refusal::Refusal::may_have_run(code::Code::OutcomeUnknown, text));
        }
        let tombstone = run::Tombstone { since: tokio::time::Instant::now(), ran: false };
        self.tombstones.insert(request.id, tombstone);
        let text = "the request never arrived and will be refused if it does";
        Err(refusal::Refusal::not_run(code::Code::RunUnknown, text))
    }
}

/// Cancels a request because no caller waits for it.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Cancel(pub ids::RequestId);

impl actix::Handler<Cancel> for Scheduler {
    type Result = ();

    fn handle(&mut self, Cancel(id): Cancel, ctx: &mut Self::Context) {
        self.cancel(id, ctx);
    }
}

/// Executes an admitted order at the backend server.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct ExecuteOrder(pub control::Order);

impl actix::Handler<ExecuteOrder> for Scheduler {
    type Result = actix::ResponseActFuture<Self, ()>;

    fn handle(&mut self, ExecuteOrder(order): ExecuteOrder, _: &mut Self::Context) -> Self::Result {
        let (backend, orders) =
            (self.dependencies.backend.clone(), self.dependencies.orders.clone());
        let order_lock = self.order_lock.clone();
        let work = async move {
            let _guard = order_lock.lock().await;
            let result = backend.execute_order(&order).await;
            orders.record_outcome(&order.id, result);
        };
        Box::pin(fut::wrap_future::<_, Self>(work))
    }
}

/// Stops admission of new requests; replies when the last run has ended.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Drain;

impl actix::Handler<Drain> for Scheduler {
    type Result = actix::ResponseActFuture<Self, ()>;

    fn handle(&mut self, Drain: Drain, _: &mut Self::Context) -> Self::Result {
        self.stopping = true;
        let load = self.dependencies.load.clone();
        let idle = async move {
            loop {
                let now = *load.lock().unwrap_or_else(sync::PoisonError::into_inner);
                if now.running + now.waiting == 0 {
                    break;
                }
                tokio::time::sleep(SWEEP_INTERVAL).await;
            }
        };
        Box::pin(fut::wrap_future::<_, Self>(idle))
    }
}
