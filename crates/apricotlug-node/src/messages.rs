//! Messages between instances: demand reports to the delegate of a data centre and its allotments,
//! evidence on version moves to their leader, and token requests, loans and acknowledgements.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_edge::Shared;
use apricotlug_model::{InstanceId, UnixTime};
use apricotlug_peer::{PeerHandle, Transfer as Envelope, TransferId as EnvelopeId};
use apricotlug_policy::{
    budget::{Allotment, Allotments, Report, Share, Transfer, TransferId},
    moves::{self, MoveId},
};
use serde::{Deserialize, Serialize};

/// Time from sending after which a receiver discards the message.
const MESSAGE_LIFETIME: Duration = Duration::from_secs(10);

/// Rate in thousandths of a request per second, and burst in requests.
type ShareWire = (u64, u64);

/// Message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Demand of an instance, reported to the delegate.
    Report(Report),
    /// Budgets that the delegate grants an instance.
    Allotments(Allotments),
    /// Results that an instance counted for a version move, reported to the leader of moves.
    Evidence(MoveId, moves::Report),
    /// Request for tokens that an instance is short of.
    Ask {
        /// Instance that requests the tokens.
        from: InstanceId,
        /// Missing tokens, one entry a client account.
        wants: Vec<TokenRequest>,
    },
    /// Tokens lent to the receiver.
    Lend(Transfer),
    /// Acknowledgement to the lender that tokens it lent were spent.
    Spent(Transfer),
}

/// Tokens of one client account that an instance is short of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Id of the client account in the bundle.
    pub account: String,
    /// Number of missing tokens; one token admits one request.
    pub tokens: u64,
    /// Recent demand, in thousandths of a request per second.
    pub demand_milli: u64,
}

/// Wire form of a transfer of tokens.
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
        accounts: Vec<(String, ShareWire, ShareWire, ShareWire)>,
    },
    Evidence(MoveId, moves::Report),
    Ask {
        from: InstanceId,
        wants: Vec<TokenRequest>,
    },
    Lend(TransferWire),
    Spent(TransferWire),
}

fn share_to_wire(share: Share) -> ShareWire {
    (share.rate_milli, share.burst)
}

fn share_from_wire((rate_milli, burst): ShareWire) -> Share {
    Share { rate_milli, burst }
}

impl From<&Message> for MessageWire {
    fn from(message: &Message) -> Self {
        match message.clone() {
            Message::Report(report) => Self::Report {
                instance: report.instance,
                confirmed: report.confirmed_generation,
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
                accounts: granted
                    .accounts
                    .into_iter()
                    .map(allotment_to_wire)
                    .collect(),
            },
        }
    }
}

fn allotment_to_wire(allotment: Allotment) -> (String, ShareWire, ShareWire, ShareWire) {
    let [budget, floor, surplus] =
        [allotment.budget, allotment.floor, allotment.surplus].map(share_to_wire);
    (allotment.account, budget, floor, surplus)
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
                confirmed_generation: confirmed,
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
                let allotments = accounts
                    .into_iter()
                    .map(|(account, budget, floor, surplus)| Allotment {
                        account,
                        budget: share_from_wire(budget),
                        floor: share_from_wire(floor),
                        surplus: share_from_wire(surplus),
                    });
                Self::Allotments(Allotments {
                    holder,
                    generation,
                    floor_until,
                    surplus_until,
                    accounts: allotments.collect(),
                })
            }
        }
    }
}

impl Message {
    /// Encodes the message as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(&MessageWire::from(self)).unwrap_or_default()
    }

    /// Decodes a message; `None` where the bytes are not a valid message.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice::<MessageWire>(bytes)
            .ok()
            .map(Self::from)
    }
}

/// Sends a message to one run of an instance. A failure is only logged: a later message makes up
/// for a lost one.
pub async fn send(shared: &Shared, peers: &PeerHandle, to: &InstanceId, message: &Message) {
    let transfer = Envelope {
        id: EnvelopeId(rand::random()),
        expires: shared.clock.unix().after(MESSAGE_LIFETIME),
        payload: message.encode(),
    };
    if let Err(e) = peers.send_transfer(to, transfer).await {
        tracing::debug!(to = %to, error = %e, "message not sent");
    }
}
