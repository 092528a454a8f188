//! Messages from one instance to another: demand and allotments with the delegate of a data
//! centre, evidence on version moves to their leader.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_edge::Shared;
use apricotlug_model::{InstanceId, UnixTime};
use apricotlug_peer::{PeerHandle, Transfer as Envelope, TransferId as EnvelopeId};
use apricotlug_policy::{
    budget::{Allotment, Allotments, Part, Report, Transfer, TransferId},
    moves::{self, MoveId},
};
use serde::{Deserialize, Serialize};

/// Time after which a message is not applied any more.
const LIFE: Duration = Duration::from_secs(10);

/// Rate in thousandths per second, and burst.
type PartWire = (u64, u64);

/// Message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// What an instance tells the delegate.
    Report(Report),
    /// What the delegate grants an instance.
    Allotments(Allotments),
    /// What an instance tells the leader of moves.
    Evidence(MoveId, moves::Report),
    /// Tokens that an instance lacks.
    Ask {
        /// Instance that asks.
        from: InstanceId,
        /// What it lacks, by client account.
        wants: Vec<Want>,
    },
    /// Tokens lent to the receiver.
    Lend(Transfer),
    /// Word to the giver that tokens it lent were spent.
    Spent(Transfer),
}

/// Tokens of one client account that an instance lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Client account's name.
    pub account: String,
    /// Tokens.
    pub tokens: u64,
    /// Recent demand, in thousandths per second.
    pub demand_milli: u64,
}

/// Stored form of a transfer of tokens.
#[derive(Debug, Serialize, Deserialize)]
struct TransferWire {
    from: InstanceId,
    number: u64,
    to: InstanceId,
    account: String,
    tokens: u64,
    until: UnixTime,
}

impl From<Transfer> for TransferWire {
    fn from(transfer: Transfer) -> Self {
        Self {
            from: transfer.id.from,
            number: transfer.id.number,
            to: transfer.to,
            account: transfer.account,
            tokens: transfer.tokens,
            until: transfer.until,
        }
    }
}

impl From<TransferWire> for Transfer {
    fn from(wire: TransferWire) -> Self {
        Self {
            id: TransferId {
                from: wire.from,
                number: wire.number,
            },
            to: wire.to,
            account: wire.account,
            tokens: wire.tokens,
            until: wire.until,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum MessageWire {
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
    Evidence(MoveId, moves::Report),
    Ask {
        from: InstanceId,
        wants: Vec<Want>,
    },
    Lend(TransferWire),
    Spent(TransferWire),
}

fn part_to_wire(part: Part) -> PartWire {
    (part.rate_milli, part.burst)
}

fn part_from_wire((rate_milli, burst): PartWire) -> Part {
    Part { rate_milli, burst }
}

impl From<&Message> for MessageWire {
    fn from(message: &Message) -> Self {
        match message.clone() {
            Message::Report(report) => Self::Report {
                instance: report.instance,
                confirmed: report.confirmed,
                is_leaving: report.is_leaving,
                demand_milli: report.demand_milli,
            },
            Message::Evidence(id, report) => Self::Evidence(id, report),
            Message::Ask { from, wants } => Self::Ask { from, wants },
            Message::Lend(transfer) => Self::Lend(transfer.into()),
            Message::Spent(transfer) => Self::Spent(transfer.into()),
            Message::Allotments(granted) => Self::Allotments {
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

impl From<MessageWire> for Message {
    fn from(wire: MessageWire) -> Self {
        match wire {
            MessageWire::Evidence(id, report) => Self::Evidence(id, report),
            MessageWire::Ask { from, wants } => Self::Ask { from, wants },
            MessageWire::Lend(transfer) => Self::Lend(transfer.into()),
            MessageWire::Spent(transfer) => Self::Spent(transfer.into()),
            MessageWire::Report {
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
            MessageWire::Allotments {
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

impl Message {
    /// Encodes the message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(&MessageWire::from(self)).unwrap_or_default()
    }

    /// Decodes a message; `None` where the bytes are none.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice::<MessageWire>(bytes)
            .ok()
            .map(Self::from)
    }
}

/// Sends a message to one run of an instance. One that is lost is made good by the next.
pub async fn send(shared: &Shared, peers: &PeerHandle, to: &InstanceId, message: &Message) {
    let transfer = Envelope {
        id: EnvelopeId(rand::random()),
        expires: shared.clock.unix().after(LIFE),
        payload: message.encode(),
    };
    if let Err(e) = peers.send_transfer(to, transfer).await {
        tracing::debug!(to = %to, error = %e, "message not sent");
    }
}
