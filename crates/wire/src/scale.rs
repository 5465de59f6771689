//! Conversions between demand for runners and duty messages.

use citron_policy::{
    autoscale::{Count, Demand, Fleet, Known},
    catalogue::MAX_NAME_BYTES,
    id::{FencingToken, InstanceId, ServiceId},
};
use derive_more::{Display, Error};
use indexmap::IndexMap;

use crate::generated::duty as proto;

/// Most failure domains, tiers or orders in a message.
const MAX_ITEMS: usize = 4_096;

/// Why a message was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// A name is missing or too long.
    #[display("message with an invalid {part}: run the same version on all daemons")]
    Name {
        /// What it names.
        part: &'static str,
    },
    /// A list is over its limit.
    #[display("message with too long a {part}: run the same version on all daemons")]
    TooLong {
        /// The list.
        part: &'static str,
    },
    /// A number is not finite, or negative.
    #[display("message with an invalid number: run the same version on all daemons")]
    Number,
}

/// What a daemon knows of the orders of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The service.
    pub service: ServiceId,
    /// Holder of the duties, if it is known.
    pub holder: Option<InstanceId>,
    /// Fencing token under which the orders were given; zero if they are not known.
    pub token: FencingToken,
    /// Orders in force.
    pub orders: Known,
}

/// Converts a report of demand, with the orders that its sender knows.
#[must_use]
pub fn demand_to_proto(demand: &Demand, known: Plan) -> proto::Message {
    let sites = demand.fleets.iter().map(|(domain, fleet)| proto::Site {
        domain: domain.clone(),
        stable_ready: fleet.stable.ready,
        stable_leaving: fleet.stable.leaving,
        reclaimable_ready: fleet.reclaimable.ready,
        reclaimable_leaving: fleet.reclaimable.leaving,
    });
    let demand = proto::Demand {
        service: demand.service.clone(),
        sites: sites.collect(),
        usable: demand.usable,
        slots: demand.slots,
        prefill: demand.prefill,
        held: demand.held,
        memory: demand.memory,
        waiting: demand.waiting.clone(),
        granted: demand.granted,
        refused: demand.refused,
        urgent: demand.urgent,
        known: (known.token > 0).then(|| plan(known)),
    };
    proto::Message {
        body: Some(proto::message::Body::Demand(demand)),
    }
}

/// The report of demand in a message, and the orders that its sender knows.
///
/// # Errors
/// [`Error`] when a name, list or number is invalid.
pub fn demand_from_proto(demand: proto::Demand) -> Result<(Demand, Plan), Error> {
    check_len(demand.sites.len(), "list of failure domains")?;
    check_len(demand.waiting.len(), "list of tiers")?;
    let shares = [demand.prefill, demand.held, demand.memory, demand.urgent];
    let mut numbers = shares.iter().chain(&demand.waiting);
    if !numbers.all(|it| it.is_finite() && *it >= 0.0) {
        return Err(Error::Number);
    }
    let fleets = demand.sites.into_iter().map(|it| {
        let count = |ready, leaving| Count { ready, leaving };
        let fleet = Fleet {
            stable: count(it.stable_ready, it.stable_leaving),
            reclaimable: count(it.reclaimable_ready, it.reclaimable_leaving),
        };
        Ok((check_name(it.domain, "failure domain")?, fleet))
    });
    let fleets: Result<IndexMap<_, _>, Error> = fleets.collect();
    let known = demand.known.map(plan_from_proto).transpose()?;
    let demand = Demand {
        service: check_name(demand.service, "service")?,
        fleets: fleets?,
        usable: demand.usable,
        slots: demand.slots,
        prefill: demand.prefill,
        held: demand.held,
        memory: demand.memory,
        waiting: demand.waiting,
        granted: demand.granted,
        refused: demand.refused,
        urgent: demand.urgent,
    };
    Ok((demand, known.unwrap_or_default()))
}

/// Converts what a daemon knows of the orders of a service.
#[must_use]
pub fn plan_to_proto(known: Plan) -> proto::Message {
    proto::Message {
        body: Some(proto::message::Body::Plan(plan(known))),
    }
}

fn plan(known: Plan) -> proto::Plan {
    let orders = known.orders.into_iter();
    let orders = orders.map(|(domain, reclaimable, desired)| proto::Order {
        domain,
        reclaimable,
        desired,
    });
    proto::Plan {
        service: known.service,
        holder: known.holder.unwrap_or_default(),
        token: known.token,
        orders: orders.collect(),
    }
}

/// What the sender of a message knows of the orders of a service.
///
/// # Errors
/// [`Error`] when a name or list is invalid.
pub fn plan_from_proto(plan: proto::Plan) -> Result<Plan, Error> {
    check_len(plan.orders.len(), "list of orders")?;
    let orders = plan.orders.into_iter().map(|it| {
        let domain = check_name(it.domain, "failure domain")?;
        Ok((domain, it.reclaimable, it.desired))
    });
    let holder = (!plan.holder.is_empty()).then_some(plan.holder);
    Ok(Plan {
        service: check_name(plan.service, "service")?,
        holder: holder.map(|it| check_name(it, "holder")).transpose()?,
        token: plan.token,
        orders: orders.collect::<Result<_, Error>>()?,
    })
}

fn check_name(text: String, part: &'static str) -> Result<String, Error> {
    if text.is_empty() || text.len() > 4 * MAX_NAME_BYTES {
        return Err(Error::Name { part });
    }
    Ok(text)
}

fn check_len(len: usize, part: &'static str) -> Result<(), Error> {
    if len > MAX_ITEMS {
        return Err(Error::TooLong { part });
    }
    Ok(())
}
