//! What is spent in each zone, now and once the plan is done.

use std::collections;

use azuregap_core::ids;
use azuregap_core::intent;

use super::cost;
use super::inputs;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    spend: ids::Micros,
    price: ids::Micros,
    taken: ids::Micros,
    planned: ids::Micros,
}

/// What is spent in each zone.
#[derive(Clone, Debug)]
pub(super) struct Ledger<'a> {
    accounts: collections::BTreeMap<&'a str, Account>,
    order: Vec<&'a str>,
}

impl<'a> Ledger<'a> {
    /// Counts every backend server there is or may be as taken.
    pub(super) fn new(inputs: &inputs::Inputs<'a>) -> Self {
        let account = |zone: &'a intent::Zone| {
            let account = Account { spend: zone.spend, price: zone.price, ..Account::default() };
            (zone.name.as_str(), account)
        };
        let order = inputs.intent.zones.iter().map(|zone| zone.name.as_str()).collect();
        let mut ledger =
            Self { accounts: inputs.intent.zones.iter().map(account).collect(), order };
        for backend in inputs.backends {
            ledger.take(&backend.zone);
        }
        ledger
    }

    /// Whether the zone's spend covers one more once the plan is done.
    pub(super) fn affords(&self, zone: &str) -> bool {
        self.accounts
            .get(zone)
            .is_some_and(|account| account.planned + account.price <= account.spend)
    }

    /// Whether the zone's spend covers one more beside everything that is taken now.
    pub(super) fn has_room(&self, zone: &str) -> bool {
        self.accounts
            .get(zone)
            .is_some_and(|account| account.taken + account.price <= account.spend)
    }

    /// Counts one more that is there once the plan is done.
    pub(super) fn plan(&mut self, zone: &str) {
        if let Some(account) = self.accounts.get_mut(zone) {
            account.planned += account.price;
        }
    }

    /// Counts one more that is taken from now on.
    pub(super) fn take(&mut self, zone: &str) {
        if let Some(account) = self.accounts.get_mut(zone) {
            account.taken += account.price;
        }
    }

    /// Whether more is taken than may be spent.
    pub(super) fn is_over(&self, zone: &str) -> bool {
        self.accounts.get(zone).is_none_or(|account| account.taken > account.spend)
    }

    /// Price of one backend server in the zone, per hour; 0 in a zone that is not declared.
    pub(super) fn price(&self, zone: &str) -> ids::Micros {
        self.accounts.get(zone).map_or(0, |account| account.price)
    }

    /// The zone with the lowest price.
    pub(super) fn cheapest(&self) -> &'a str {
        let price = |zone: &&&'a str| self.accounts[**zone].price;
        self.order.iter().min_by_key(price).copied().unwrap_or_default()
    }

    /// The cost once the plan is done.
    pub(super) fn cost(&self) -> cost::Cost {
        let zone = |name: &&str| {
            let account = &self.accounts[name];
            cost::ZoneCost { zone: (*name).to_owned(), cost: account.planned, spend: account.spend }
        };
        let zones: Vec<_> = self.order.iter().map(zone).collect();
        cost::Cost { per_hour: zones.iter().map(|zone| zone.cost).sum(), zones }
    }
}
