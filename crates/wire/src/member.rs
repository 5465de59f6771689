//! Encoding and decoding of membership datagrams.

use std::net::{IpAddr, SocketAddr};

use bytes::{BufMut, Bytes, BytesMut};
use citron_policy::{
    member::{Member, State},
    swim::{Kind, Message, Vital},
};
use derive_more::{Display, Error, From};
use prost::Message as _;

use crate::{MAX_DATAGRAM_BYTES, VERSION, generated::member as proto};

/// Bytes of a port.
const PORT_BYTES: usize = 2;

/// Why a datagram was dropped.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The bytes are not a datagram.
    #[display("not a membership datagram: {_0}: check that the address is a citrond peer port")]
    Decode(prost::DecodeError),
    /// The sender uses another version.
    #[display("datagram of version {theirs}, this daemon speaks {VERSION}: upgrade the older one")]
    #[from(skip)]
    Version {
        /// Version of the datagram.
        theirs: u32,
    },
    /// The sender belongs to another cluster.
    #[display("datagram of cluster {theirs:?}: check --cluster on both sides")]
    #[from(skip)]
    Cluster {
        /// Cluster that the datagram names.
        theirs: String,
    },
    /// A field is missing or invalid.
    #[display("datagram without a valid {field}: check that both daemons run the same release")]
    #[from(skip)]
    Field {
        /// Field at fault.
        field: &'static str,
    },
}

/// Encodes a message; drops the least important parts if it is too long.
#[must_use]
pub fn encode(cluster: &str, message: Message) -> Bytes {
    let mut datagram = datagram(cluster, message);
    while datagram.encoded_len() > MAX_DATAGRAM_BYTES {
        if datagram.vitals.pop().is_none() && datagram.records.pop().is_none() {
            break;
        }
    }
    datagram.encode_to_vec().into()
}

/// Decodes a datagram of `cluster`.
///
/// # Errors
/// [`Error`] when it cannot be decoded, or is of another version or cluster.
pub fn decode(cluster: &str, bytes: &[u8]) -> Result<Message, Error> {
    let datagram = proto::Datagram::decode(bytes)?;
    if datagram.version != VERSION {
        return Err(Error::Version {
            theirs: datagram.version,
        });
    }
    if datagram.cluster != cluster {
        return Err(Error::Cluster {
            theirs: datagram.cluster,
        });
    }
    let kind = datagram.kind.ok_or(Error::Field { field: "kind" })?;
    let records = datagram.records.into_iter().map(record_from_proto);
    Ok(Message {
        from: check_name(datagram.from, "from")?,
        incarnation: datagram.incarnation,
        kind: kind_from_proto(kind),
        want: datagram.want,
        records: records.collect::<Result<_, _>>()?,
        vitals: datagram.vitals.iter().map(vital_from_proto).collect(),
    })
}

fn datagram(cluster: &str, message: Message) -> proto::Datagram {
    proto::Datagram {
        version: VERSION,
        cluster: cluster.to_owned(),
        from: message.from,
        incarnation: message.incarnation,
        want: message.want,
        kind: Some(kind_to_proto(message.kind)),
        records: message.records.into_iter().map(record_to_proto).collect(),
        vitals: message.vitals.iter().map(vital_to_proto).collect(),
    }
}

fn kind_to_proto(kind: Kind) -> proto::datagram::Kind {
    use proto::datagram::Kind as Wire;
    match kind {
        Kind::Ping { seq } => Wire::Ping(seq),
        Kind::Ack { seq } => Wire::Ack(seq),
        Kind::Nack { seq } => Wire::Nack(seq),
        Kind::Ask { seq, target } => Wire::Ask(proto::Ask { seq, target }),
        Kind::Gossip => Wire::Gossip(proto::Gossip {}),
        Kind::Digest { buckets } => Wire::Digest(proto::Digest { buckets }),
        Kind::Range { low, high, reply } => Wire::Range(proto::Range { low, high, reply }),
    }
}

fn kind_from_proto(kind: proto::datagram::Kind) -> Kind {
    use proto::datagram::Kind as Wire;
    match kind {
        Wire::Ping(seq) => Kind::Ping { seq },
        Wire::Ack(seq) => Kind::Ack { seq },
        Wire::Nack(seq) => Kind::Nack { seq },
        Wire::Ask(proto::Ask { seq, target }) => Kind::Ask { seq, target },
        Wire::Gossip(proto::Gossip {}) => Kind::Gossip,
        Wire::Digest(proto::Digest { buckets }) => Kind::Digest { buckets },
        Wire::Range(proto::Range { low, high, reply }) => Kind::Range { low, high, reply },
    }
}

fn record_to_proto(member: Member) -> proto::Record {
    proto::Record {
        id: member.id,
        domain: member.domain,
        peer: address_to_bytes(member.peer),
        callers: address_to_bytes(member.callers),
        replica: member.replica.unwrap_or_default(),
        incarnation: member.incarnation,
        state: state_to_proto(member.state).into(),
        capacity: member.capacity,
    }
}

fn record_from_proto(record: proto::Record) -> Result<Member, Error> {
    let state = state_from_proto(record.state())?;
    Ok(Member {
        id: check_name(record.id, "id")?,
        domain: check_name(record.domain, "domain")?,
        peer: address_from_bytes(&record.peer)?,
        callers: address_from_bytes(&record.callers)?,
        capacity: record.capacity,
        replica: Some(record.replica).filter(|id| *id != 0),
        incarnation: record.incarnation,
        state,
        revision: 0,
        load: 0,
        current: false,
    })
}

/// Checks a name's length; longer names would not fit a datagram.
fn check_name(name: String, field: &'static str) -> Result<String, Error> {
    if (1..=citron_policy::catalogue::MAX_NAME_BYTES).contains(&name.len()) {
        Ok(name)
    } else {
        Err(Error::Field { field })
    }
}

fn state_to_proto(state: State) -> proto::State {
    match state {
        State::Alive => proto::State::Alive,
        State::Suspect => proto::State::Suspect,
        State::Leaving => proto::State::Leaving,
        State::Dead => proto::State::Dead,
    }
}

fn state_from_proto(state: proto::State) -> Result<State, Error> {
    match state {
        proto::State::Unknown => Err(Error::Field { field: "state" }),
        proto::State::Alive => Ok(State::Alive),
        proto::State::Suspect => Ok(State::Suspect),
        proto::State::Leaving => Ok(State::Leaving),
        proto::State::Dead => Ok(State::Dead),
    }
}

fn vital_to_proto(vital: &Vital) -> proto::Vital {
    proto::Vital {
        subject: vital.subject,
        stamp: vital.stamp,
        revision: vital.revision,
        load: vital.load,
        current: vital.current,
    }
}

fn vital_from_proto(vital: &proto::Vital) -> Vital {
    Vital {
        subject: vital.subject,
        stamp: vital.stamp,
        revision: vital.revision,
        load: vital.load,
        current: vital.current,
    }
}

fn address_to_bytes(address: SocketAddr) -> Bytes {
    let mut bytes = BytesMut::new();
    match address.ip() {
        IpAddr::V4(ip) => bytes.put_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.put_slice(&ip.octets()),
    }
    bytes.put_u16(address.port());
    bytes.freeze()
}

fn address_from_bytes(bytes: &[u8]) -> Result<SocketAddr, Error> {
    let fault = Error::Field { field: "address" };
    let Some((ip, port)) = bytes.split_last_chunk::<PORT_BYTES>() else {
        return Err(fault);
    };
    let ip = match (<[u8; 4]>::try_from(ip), <[u8; 16]>::try_from(ip)) {
        (Ok(octets), _) => IpAddr::from(octets),
        (_, Ok(octets)) => IpAddr::from(octets),
        _ => return Err(fault),
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
