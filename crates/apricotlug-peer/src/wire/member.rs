//! Encoding and decoding of members and their addresses.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use apricotlug_model::InstanceId;

use crate::{
    Addresses, MemberRecord, PeerError, State,
    peer_capnp::{State as WireState, addr, member},
};

/// Maximum length of the name of an instance or a data centre, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum version of a member record, so that its revision fits in 32 bits.
const MAX_VERSION: u32 = u32::MAX >> 2;

impl From<State> for WireState {
    fn from(state: State) -> Self {
        match state {
            State::Ready => Self::Ready,
            State::Leaving => Self::Leaving,
            State::Suspect => Self::Suspect,
            State::Dead => Self::Dead,
        }
    }
}

impl From<WireState> for State {
    fn from(state: WireState) -> Self {
        match state {
            WireState::Ready => Self::Ready,
            WireState::Leaving => Self::Leaving,
            WireState::Suspect => Self::Suspect,
            WireState::Dead => Self::Dead,
        }
    }
}

fn fill_addr(socket: SocketAddr, mut builder: addr::Builder) {
    let ip = match socket.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let bits = ip.to_bits();
    builder.set_high((bits >> 64) as u64);
    builder.set_low(bits as u64);
    builder.set_port(socket.port());
}

impl From<addr::Reader<'_>> for SocketAddr {
    fn from(reader: addr::Reader) -> Self {
        let bits = u128::from(reader.get_high()) << 64 | u128::from(reader.get_low());
        let ip = Ipv6Addr::from_bits(bits).to_canonical();
        Self::new(ip, reader.get_port())
    }
}

/// Fills the wire form of a member.
pub(super) fn fill(record: &MemberRecord, mut builder: member::Builder) {
    builder.set_name(&record.id.name);
    builder.set_incarnation(record.id.incarnation);
    builder.set_generation(record.generation);
    builder.set_version(record.version);
    builder.set_state(record.state.into());
    builder.set_data_centre(&record.data_centre);
    fill_addr(record.addresses.caller, builder.reborrow().init_caller());
    fill_addr(record.addresses.lookup, builder.reborrow().init_lookup());
    fill_addr(record.addresses.peer, builder.reborrow().init_peer());
}

impl TryFrom<member::Reader<'_>> for MemberRecord {
    type Error = PeerError;

    fn try_from(reader: member::Reader) -> Result<Self, PeerError> {
        if reader.get_version() > MAX_VERSION {
            return Err(PeerError::Malformed("member version"));
        }
        let state = State::from(reader.get_state()?);
        if state == State::Suspect {
            return Err(PeerError::Malformed("suspicion is never announced"));
        }
        Ok(Self {
            id: InstanceId {
                name: name(reader.get_name()?)?,
                incarnation: reader.get_incarnation(),
            },
            generation: reader.get_generation(),
            version: reader.get_version(),
            state,
            data_centre: name(reader.get_data_centre()?)?,
            addresses: Addresses {
                caller: reader.get_caller()?.into(),
                lookup: reader.get_lookup()?.into(),
                peer: reader.get_peer()?.into(),
            },
        })
    }
}

fn name(text: capnp::text::Reader) -> Result<String, PeerError> {
    let text = text.to_str()?;
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(PeerError::Malformed("length of a name"));
    }
    Ok(text.to_owned())
}
