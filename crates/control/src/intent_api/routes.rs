//! Handlers of the intent API: each parses its input, calls one function and responds.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http;
use actix_web::web;
use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::key;
use azuregap_core::settings;
use serde::de;
use tokio::time::Instant;

use super::auth;
use super::response;
use super::state;
use super::views;
use crate::failure;
use crate::keys;
use crate::orders;
use crate::reports;

type Shared = web::Data<state::State>;

/// Registers the routes.
pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/plans", web::post().to(create_plan))
        .route("/v1/plans", web::get().to(list_plans))
        .route("/v1/plans/{id}", web::get().to(find_plan))
        .route("/v1/plans/{id}/confirm", web::post().to(confirm_plan))
        .route("/v1/intent", web::get().to(read_intent))
        .route("/v1/keys", web::post().to(grant_key))
        .route("/v1/keys/{digest}", web::delete().to(revoke_key))
        .route("/v1/orders", web::get().to(list_orders))
        .route("/v1/backends/{backend}/orders", web::post().to(order_agent))
        .route("/v1/status", web::get().to(status))
        .route("/v1/usage", web::get().to(list_usage))
        .route("/v1/usage/{window}", web::get().to(find_usage));
}

fn operator(request: &HttpRequest, state: &state::State) -> Result<String, failure::Failure> {
    auth::authenticate(request, &state.handles.settings.operator_keys)
}

/// Parses a JSON body; an error names the path of the first invalid field.
fn read<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, failure::Failure> {
    let text = std::str::from_utf8(body).map_err(|error| {
        let fault = intent::Fault::new(".", code::Code::JsonInvalid, error.to_string());
        failure::Failure::Invalid(vec![fault])
    })?;
    settings::from_text(text).map_err(|error| match error {
        settings::LoadError::Invalid(fault) => failure::Failure::Invalid(vec![fault]),
    })
}

async fn create_plan(request: HttpRequest, state: Shared, body: web::Bytes) -> HttpResponse {
    let create = async {
        let by = operator(&request, &state)?;
        let declared: intent::Intent = read(&body)?;
        let backends = state.backends().await?;
        let tracker = &state.handles.demand;
        tracker.observe(&declared, &backends, Instant::now());
        let demand = tracker.demand(&declared);
        let id = uuid::Uuid::new_v4().simple().to_string();
        state.plans.create(&by, id, &declared, &backends, &demand).await
    };
    response::respond(http::StatusCode::CREATED, create.await)
}

async fn list_plans(request: HttpRequest, state: Shared) -> HttpResponse {
    let list = async {
        operator(&request, &state)?;
        state.plans.list().await
    };
    response::respond(http::StatusCode::OK, list.await)
}

async fn find_plan(request: HttpRequest, state: Shared, id: web::Path<String>) -> HttpResponse {
    let find = async {
        operator(&request, &state)?;
        state.plans.find(&id).await
    };
    response::respond(http::StatusCode::OK, find.await)
}

async fn confirm_plan(request: HttpRequest, state: Shared, id: web::Path<String>) -> HttpResponse {
    let confirm = async {
        let by = operator(&request, &state)?;
        state.plans.confirm(&by, &id).await
    };
    response::respond(http::StatusCode::OK, confirm.await)
}

async fn read_intent(request: HttpRequest, state: Shared) -> HttpResponse {
    let read = async {
        operator(&request, &state)?;
        let stored = state.source.read().await.map_err(failure::Failure::unavailable)?;
        let unreadable =
            |error: settings::LoadError| failure::Failure::Unavailable(error.to_string());
        let intent = stored.value.intent().map_err(unreadable)?;
        Ok(views::IntentView { version: stored.value.version, by: stored.value.by, intent })
    };
    response::respond(http::StatusCode::OK, read.await)
}

async fn grant_key(request: HttpRequest, state: Shared, body: web::Bytes) -> HttpResponse {
    let grant = async {
        let by = operator(&request, &state)?;
        let grant: views::GrantKeyRequest = read(&body)?;
        let version = keys::grant(&state.source, &by, &grant.team, grant.digest).await?;
        Ok(views::VersionView { version })
    };
    response::respond(http::StatusCode::CREATED, grant.await)
}

async fn revoke_key(
    request: HttpRequest,
    state: Shared,
    digest: web::Path<String>,
) -> HttpResponse {
    let revoke = async {
        let by = operator(&request, &state)?;
        let digest: key::Digest = read(format!("\"{digest}\"").as_bytes())?;
        let version = keys::revoke(&state.source, &by, digest).await?;
        Ok(views::VersionView { version })
    };
    response::respond(http::StatusCode::OK, revoke.await)
}

async fn list_orders(request: HttpRequest, state: Shared) -> HttpResponse {
    let list = async {
        operator(&request, &state)?;
        state.orders().await
    };
    response::respond(http::StatusCode::OK, list.await)
}

async fn order_agent(
    request: HttpRequest,
    state: Shared,
    backend: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let order = async {
        let by = operator(&request, &state)?;
        let order: orders::AgentOrder = read(&body)?;
        tracing::info!(decision = "order agent", code = 0, by, %backend, ?order, "placement");
        state.order(&backend, order).await
    };
    response::respond(http::StatusCode::CREATED, order.await)
}

async fn status(request: HttpRequest, state: Shared) -> HttpResponse {
    let status = operator(&request, &state).map(|_| node_status(&state.handles));
    response::respond(http::StatusCode::OK, status)
}

fn node_status(handles: &state::Handles) -> views::Status {
    let snapshot = handles.mailbox.snapshot();
    let peer = &handles.mailbox.process().peer;
    let agents = handles.directory.load();
    let agents = agents.iter().map(|agent| views::AgentView {
        node: agent.node.clone(),
        incarnation: agent.incarnation,
        backend: agent.backend.clone(),
        pool: agent.pool.clone(),
        zone: agent.zone.clone(),
        leaving: agent.leaving,
    });
    views::Status {
        node: peer.node.clone(),
        zone: peer.zone.clone(),
        version: snapshot.load().version,
        age_ms: u64::try_from(snapshot.age().as_millis()).ok(),
        holder: handles.holder.holder(),
        fence: handles.holder.fencing_token(),
        agents: agents.collect(),
    }
}

async fn list_usage(request: HttpRequest, state: Shared) -> HttpResponse {
    let list = async {
        operator(&request, &state)?;
        reports::list(state.source.table()).await.map_err(failure::Failure::unavailable)
    };
    response::respond(http::StatusCode::OK, list.await)
}

async fn find_usage(
    request: HttpRequest,
    state: Shared,
    window: web::Path<String>,
) -> HttpResponse {
    let find = async {
        operator(&request, &state)?;
        let unknown = || failure::Failure::NameUnknown(format!("window {window}"));
        let number = window.parse().map_err(|_| unknown())?;
        let found = reports::find(state.source.table(), number).await;
        found.map_err(failure::Failure::unavailable)?.ok_or_else(unknown)
    };
    response::respond(http::StatusCode::OK, find.await)
}
