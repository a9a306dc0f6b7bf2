//! Cost and spending limit of each zone, now and after the plan.

use std::collections;

use azuregap_core::ids;
use azuregap_core::intent;

use super::cost;
use super::inputs;

/// Amounts of one zone, in millionths of the currency unit per hour.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneBudget {
    /// Spending limit.
    limit: ids::Micros,
    /// Price of one backend server.
    price: ids::Micros,
    /// Cost of every backend server that exists or may exist.
    committed: ids::Micros,
    /// Cost after the plan.
    planned: ids::Micros,
}

/// Cost and spending limit of each zone.
#[derive(Clone, Debug)]
pub(super) struct Budget<'a> {
    zones: collections::BTreeMap<&'a str, ZoneBudget>,
    /// Zones in the order of the intent.
    order: Vec<&'a str>,
}

impl<'a> Budget<'a> {
    /// Counts every backend server that exists or may exist as committed.
    pub(super) fn new(inputs: &inputs::Inputs<'a>) -> Self {
        let budget = |zone: &'a intent::Zone| {
            let budget =
                ZoneBudget { limit: zone.spend, price: zone.price, ..ZoneBudget::default() };
            (zone.name.as_str(), budget)
        };
        let order = inputs.intent.zones.iter().map(|zone| zone.name.as_str()).collect();
        let mut budget = Self { zones: inputs.intent.zones.iter().map(budget).collect(), order };
        for backend in inputs.backends {
            budget.commit(&backend.zone);
        }
        budget
    }

    /// Whether the zone's limit covers one more backend server after the plan.
    pub(super) fn affords_planned(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|budget| budget.planned + budget.price <= budget.limit)
    }

    /// Whether the zone's limit covers one more backend server now.
    pub(super) fn affords_now(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|budget| budget.committed + budget.price <= budget.limit)
    }

    /// Counts one more backend server that exists after the plan.
    pub(super) fn plan(&mut self, zone: &str) {
        if let Some(budget) = self.zones.get_mut(zone) {
            budget.planned += budget.price;
        }
    }

    /// Counts one more backend server that costs from now on.
    pub(super) fn commit(&mut self, zone: &str) {
        if let Some(budget) = self.zones.get_mut(zone) {
            budget.committed += budget.price;
        }
    }

    /// Whether the zone is over its limit now; true for a zone that is not declared.
    pub(super) fn is_exceeded(&self, zone: &str) -> bool {
        self.zones.get(zone).is_none_or(|budget| budget.committed > budget.limit)
    }

    /// Price of one backend server in the zone, per hour; 0 for a zone that is not declared.
    pub(super) fn price(&self, zone: &str) -> ids::Micros {
        self.zones.get(zone).map_or(0, |budget| budget.price)
    }

    /// The zone with the lowest price.
    pub(super) fn cheapest(&self) -> &'a str {
        let price = |zone: &&&'a str| self.zones[**zone].price;
        self.order.iter().min_by_key(price).copied().unwrap_or_default()
    }

    /// The cost after the plan.
    pub(super) fn cost(&self) -> cost::Cost {
        let zone = |name: &&str| {
            let budget = &self.zones[name];
            cost::ZoneCost { zone: (*name).to_owned(), cost: budget.planned, spend: budget.limit }
        };
        let zones: Vec<_> = self.order.iter().map(zone).collect();
        cost::Cost { per_hour: zones.iter().map(|zone| zone.cost).sum(), zones }
    }
}
