//! All services of the platform at one address.

use std::io;
use std::net;
use std::time;

use actix_web::HttpResponse;
use actix_web::dev;
use actix_web::web;
use azuregap_platform::objects as object_calls;
use azuregap_platform::orders as order_calls;
use azuregap_platform::table as table_calls;
use azuregap_platform::usage as usage_calls;
use azuregap_platform::vms as vm_calls;

use crate::faults;
use crate::http;
use crate::objects;
use crate::orders;
use crate::reports;
use crate::service;
use crate::table;
use crate::vms;

/// The services of the platform; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Table service.
    pub table: table::Table,
    /// Object store.
    pub objects: objects::Objects,
    /// Interface that orders backend servers.
    pub orders: orders::Orders,
    /// Usage intake.
    pub reports: reports::Reports,
    /// VM list.
    pub vms: vms::Vms,
}

impl Platform {
    /// A platform whose VM list does not lag and whose orders ignore fencing numbers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the VM list lag.
    #[must_use]
    pub fn vm_lag(mut self, lag: time::Duration) -> Self {
        self.vms = service::Service::new(vms::State::new(lag));
        self
    }

    /// Makes the ordering interface refuse old fencing numbers.
    #[must_use]
    pub fn check_fences(mut self) -> Self {
        self.orders = service::Service::new(orders::State::new(true));
        self
    }

    /// Sets the fault switches of one service by its path; answers whether there is one.
    #[must_use]
    pub fn set_faults(&self, name: &str, faults: faults::Faults) -> bool {
        match name {
            "table" => self.table.set_faults(faults),
            "objects" => self.objects.set_faults(faults),
            "orders" => self.orders.set_faults(faults),
            "reports" => self.reports.set_faults(faults),
            "vms" => self.vms.set_faults(faults),
            _ => return false,
        }
        true
    }
}

/// Serves `platform` over HTTP at `listen`.
///
/// # Errors
///
/// When `listen` cannot be bound.
pub fn serve(
    listen: net::SocketAddr,
    platform: Platform,
) -> io::Result<(dev::ServerHandle, net::SocketAddr)> {
    http::serve(platform, routes, listen)
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().limit(http::MAX_BODY))
        .route("/table", web::post().to(call_table))
        .route("/table/counters", web::get().to(table_counters))
        .route("/objects", web::post().to(call_objects))
        .route("/orders", web::post().to(call_orders))
        .route("/orders/log", web::get().to(order_log))
        .route("/orders/running", web::get().to(order_running))
        .route("/reports", web::post().to(call_reports))
        .route("/reports/log", web::get().to(report_log))
        .route("/vms", web::post().to(call_vms))
        .route("/vms", web::put().to(set_vms))
        .route("/faults/{service}", web::post().to(set_faults));
}

type Shared = web::Data<Platform>;

async fn call_table(platform: Shared, call: web::Json<table_calls::TableCall>) -> HttpResponse {
    http::answer(platform.table.serve(call.into_inner()).await)
}

async fn table_counters(platform: Shared) -> HttpResponse {
    HttpResponse::Ok().json(platform.table.with(|state| state.counters()))
}

async fn call_objects(platform: Shared, call: web::Json<object_calls::ObjectCall>) -> HttpResponse {
    http::answer(platform.objects.serve(call.into_inner()).await)
}

async fn call_orders(platform: Shared, order: web::Json<order_calls::ZoneOrder>) -> HttpResponse {
    http::answer(platform.orders.serve(order.into_inner()).await)
}

async fn order_log(platform: Shared) -> HttpResponse {
    platform.orders.with(|state| HttpResponse::Ok().json(state.log()))
}

async fn order_running(platform: Shared) -> HttpResponse {
    platform.orders.with(|state| HttpResponse::Ok().json(state.running()))
}

async fn call_reports(
    platform: Shared,
    report: web::Json<usage_calls::UsageReport>,
) -> HttpResponse {
    http::answer(platform.reports.serve(report.into_inner()).await)
}

async fn report_log(platform: Shared) -> HttpResponse {
    platform.reports.with(|state| HttpResponse::Ok().json(state.log()))
}

async fn call_vms(platform: Shared) -> HttpResponse {
    http::answer(platform.vms.serve().await)
}

async fn set_vms(platform: Shared, list: web::Json<vm_calls::VmList>) -> HttpResponse {
    platform.vms.with(|state| state.set(list.into_inner()));
    HttpResponse::NoContent().finish()
}

async fn set_faults(
    platform: Shared,
    name: web::Path<String>,
    faults: web::Json<faults::Faults>,
) -> HttpResponse {
    match platform.set_faults(&name, faults.into_inner()) {
        true => HttpResponse::NoContent().finish(),
        false => HttpResponse::NotFound().body("table, objects, orders, reports or vms"),
    }
}
