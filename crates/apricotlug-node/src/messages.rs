//! Messages between an instance and the delegate of its data centre, about budgets.

use std::collections::BTreeMap;

use apricotlug_model::{InstanceId, UnixTime};
use apricotlug_policy::budget::{Allotment, Allotments, Part, Report};
use serde::{Deserialize, Serialize};

/// Rate in thousandths per second, and burst.
type PartWire = (u64, u64);

/// Message about budgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeatMessage {
    /// What an instance tells the delegate.
    Report(Report),
    /// What the delegate grants an instance.
    Allotments(Allotments),
}

#[derive(Debug, Serialize, Deserialize)]
enum SeatWire {
    Report {
        instance: InstanceId,
        confirmed: Option<u64>,
        is_leaving: bool,
        demand_milli: BTreeMap<String, u64>,
    },
    Allotments {
        holder: InstanceId,
        generation: u64,
        floor_until: UnixTime,
        surplus_until: UnixTime,
        accounts: Vec<(String, PartWire, PartWire, PartWire)>,
    },
}

fn part_to_wire(part: Part) -> PartWire {
    (part.rate_milli, part.burst)
}

fn part_from_wire((rate_milli, burst): PartWire) -> Part {
    Part { rate_milli, burst }
}

impl From<&SeatMessage> for SeatWire {
    fn from(message: &SeatMessage) -> Self {
        match message.clone() {
            SeatMessage::Report(report) => Self::Report {
                instance: report.instance,
                confirmed: report.confirmed,
                is_leaving: report.is_leaving,
                demand_milli: report.demand_milli,
            },
            SeatMessage::Allotments(granted) => Self::Allotments {
                holder: granted.holder,
                generation: granted.generation,
                floor_until: granted.floor_until,
                surplus_until: granted.surplus_until,
                accounts: granted.accounts.into_iter().map(row_to_wire).collect(),
            },
        }
    }
}

fn row_to_wire(row: Allotment) -> (String, PartWire, PartWire, PartWire) {
    let [budget, floor, surplus] = [row.budget, row.floor, row.surplus].map(part_to_wire);
    (row.account, budget, floor, surplus)
}

impl From<SeatWire> for SeatMessage {
    fn from(wire: SeatWire) -> Self {
        match wire {
            SeatWire::Report {
                instance,
                confirmed,
                is_leaving,
                demand_milli,
            } => Self::Report(Report {
                instance,
                confirmed,
                is_leaving,
                demand_milli,
            }),
            SeatWire::Allotments {
                holder,
                generation,
                floor_until,
                surplus_until,
                accounts,
            } => {
                let rows = accounts
                    .into_iter()
                    .map(|(account, budget, floor, surplus)| Allotment {
                        account,
                        budget: part_from_wire(budget),
                        floor: part_from_wire(floor),
                        surplus: part_from_wire(surplus),
                    });
                Self::Allotments(Allotments {
                    holder,
                    generation,
                    floor_until,
                    surplus_until,
                    accounts: rows.collect(),
                })
            }
        }
    }
}

impl SeatMessage {
    /// Encodes the message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(&SeatWire::from(self)).unwrap_or_default()
    }

    /// Decodes a message; `None` where the bytes are none.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice::<SeatWire>(bytes)
            .ok()
            .map(Self::from)
    }
}
