//! Conversions between the policy's arbiter types and slot messages.

use std::time::Duration;

use citron_policy::{
    arbiter::{
        Ask, Asked, End, Heartbeat, Hold, Inventory, Load, Part, Progress, Rate, Refusal, Reply,
        Report, Request, Sample,
    },
    crash::Step,
    id::{Epoch, RunnerId, ServiceId},
    stream::{Group, Origin, Stream},
};
use derive_more::{Display, Error};

use crate::generated::slot as proto;

/// Most items in a message, and in each of its lists.
pub const MAX_ITEMS: usize = 65_536;

/// Longest name in a message, in bytes. Account names go into a header, which holds no longer one.
const MAX_NAME_BYTES: usize = 16 << 10;

/// Longest duration in a message.
const MAX_DURATION: Duration = Duration::from_hours(24);

/// Why a slot message was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// A required part is missing.
    #[display("slot message without its {part}: run the same version on all daemons")]
    Missing {
        /// Missing part.
        part: &'static str,
    },
    /// A list or name is over its limit.
    #[display("slot message with too long a {part}: run the same version on all daemons")]
    TooLong {
        /// Part over the limit.
        part: &'static str,
    },
}

/// Content of a message about one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// Requests to an arbiter.
    Requests(Vec<Asked>),
    /// Replies of an arbiter, with its epoch.
    Replies(Epoch, Vec<Reply>),
}

/// Converts requests about a shard to a message.
#[must_use]
pub fn requests_to_proto(service: &str, shard: u32, asked: Vec<Asked>) -> proto::Message {
    proto::Message {
        service: service.to_owned(),
        shard,
        asked: asked.into_iter().map(asked_to_proto).collect(),
        ..proto::Message::default()
    }
}

/// Converts replies about a shard to a message.
#[must_use]
pub fn replies_to_proto(
    service: &str,
    shard: u32,
    epoch: Epoch,
    replies: Vec<Reply>,
) -> proto::Message {
    proto::Message {
        service: service.to_owned(),
        shard,
        epoch,
        replies: replies.into_iter().map(reply_to_proto).collect(),
        ..proto::Message::default()
    }
}

/// Service, shard and content of a message.
///
/// # Errors
/// [`Error`] when a part is missing or too long.
pub fn from_proto(message: proto::Message) -> Result<(ServiceId, u32, Content), Error> {
    let service = check_name(message.service, "service")?;
    check_len(
        message.asked.len().max(message.replies.len()),
        "list of messages",
    )?;
    let content = if message.asked.is_empty() {
        let replies = message.replies.into_iter().map(reply_from_proto);
        Content::Replies(message.epoch, replies.collect::<Result<_, _>>()?)
    } else {
        let asked = message.asked.into_iter().map(asked_from_proto);
        Content::Requests(asked.collect::<Result<_, _>>()?)
    };
    Ok((service, message.shard, content))
}

fn asked_to_proto(asked: Asked) -> proto::Asked {
    use proto::asked::Request as Out;
    let request = match asked.request {
        Request::Ask(ask) => Out::Ask(ask_to_proto(ask)),
        Request::Withdraw(ticket) => Out::Withdraw(ticket),
        Request::Begun(ticket) => Out::Begun(ticket),
        Request::Release(ticket, sample) => Out::Release(sample_to_proto(ticket, sample)),
        Request::Limit(runner, rate) => Out::Limit(limit_to_proto((runner, rate))),
        Request::Brittle(runner, most) => Out::Brittle(proto::Brittle { runner, most }),
        Request::Heartbeat(beat) => Out::Beat(beat_to_proto(beat)),
        Request::Inventory(recital) => Out::Recital(recital_to_proto(recital)),
        Request::Found(search, groups) => Out::Found(proto::Found {
            search,
            groups: groups.into_iter().map(group_to_proto).collect(),
        }),
    };
    proto::Asked {
        least: asked.least,
        fallback: asked.fallback,
        request: Some(request),
    }
}

fn asked_from_proto(asked: proto::Asked) -> Result<Asked, Error> {
    use proto::asked::Request as In;
    let request = match asked.request.ok_or(Error::Missing { part: "request" })? {
        In::Ask(ask) => Request::Ask(ask_from_proto(ask)?),
        In::Withdraw(ticket) => Request::Withdraw(ticket),
        In::Begun(ticket) => Request::Begun(ticket),
        In::Release(release) => Request::Release(release.ticket, sample_from_proto(&release)?),
        In::Limit(limit) => {
            let (runner, rate) = limit_from_proto(limit)?;
            Request::Limit(runner, rate)
        }
        In::Brittle(brittle) => {
            let (runner, most) = brittle_from_proto(brittle)?;
            Request::Brittle(runner, most)
        }
        In::Beat(beat) => Request::Heartbeat(beat_from_proto(beat)?),
        In::Recital(recital) => Request::Inventory(recital_from_proto(recital)?),
        In::Found(found) => Request::Found(found.search, groups_from_proto(found.groups)?),
    };
    Ok(Asked {
        least: asked.least,
        fallback: asked.fallback,
        request,
    })
}

fn ask_to_proto(ask: Ask) -> proto::Ask {
    proto::Ask {
        ticket: ask.ticket,
        class: ask.class,
        account: ask.account,
        fingerprint: ask.fingerprint,
        prefix: ask.prefix,
        remaining_us: micros(ask.remaining),
        waited_us: micros(ask.waited),
        avoid: ask.avoid,
        resume: ask.resume,
        suspected: ask.suspected,
        tier: ask.tier.map(u32::from),
        prompt: ask.prompt.iter().map(part_to_proto).collect(),
        output: ask.output,
        stream: ask.stream.map(stream_to_proto),
    }
}

fn ask_from_proto(ask: proto::Ask) -> Result<Ask, Error> {
    check_len(ask.avoid.len(), "list of runners to avoid")?;
    check_len(ask.prompt.len(), "prompt")?;
    let avoid = ask.avoid.into_iter().map(|it| check_name(it, "runner"));
    Ok(Ask {
        ticket: ask.ticket,
        class: check_name(ask.class, "class")?,
        account: check_name(ask.account, "account")?,
        fingerprint: ask.fingerprint,
        prefix: ask.prefix,
        remaining: duration(ask.remaining_us),
        waited: duration(ask.waited_us),
        avoid: avoid.collect::<Result<_, _>>()?,
        resume: ask.resume,
        suspected: ask.suspected,
        tier: ask.tier.and_then(|tier| u8::try_from(tier).ok()),
        prompt: ask.prompt.iter().map(part_from_proto).collect(),
        output: ask.output,
        stream: ask.stream.map(stream_from_proto).transpose()?,
    })
}

fn stream_to_proto(stream: Stream) -> proto::Stream {
    let (origin, build) = match stream.origin {
        Origin::New => (proto::Origin::New, String::new()),
        Origin::Build(build) => (proto::Origin::Build, build),
        Origin::Unknown => (proto::Origin::Unknown, String::new()),
        Origin::Recorded => (proto::Origin::Recorded, String::new()),
    };
    proto::Stream {
        id: stream.id,
        origin: origin.into(),
        build,
        life_us: micros(stream.life),
    }
}

fn stream_from_proto(stream: proto::Stream) -> Result<Stream, Error> {
    let origin = match stream.origin() {
        proto::Origin::New => Origin::New,
        proto::Origin::Build => Origin::Build(check_name(stream.build, "build")?),
        proto::Origin::Unknown => Origin::Unknown,
        proto::Origin::Recorded => Origin::Recorded,
    };
    Ok(Stream {
        id: stream.id,
        origin,
        life: duration(stream.life_us),
    })
}

fn group_to_proto(group: Group) -> proto::Streams {
    let (ids, life_ms) = group
        .streams
        .into_iter()
        .map(|(id, life)| (id, u32::try_from(life.as_millis()).unwrap_or(u32::MAX)))
        .unzip();
    proto::Streams {
        build: group.build,
        ids,
        life_ms,
    }
}

fn groups_from_proto(groups: Vec<proto::Streams>) -> Result<Vec<Group>, Error> {
    check_len(groups.len(), "list of builds")?;
    let groups = groups.into_iter().map(|it| {
        check_len(it.ids.len(), "list of streams")?;
        let lives = it
            .life_ms
            .iter()
            .map(|it| Duration::from_millis((*it).into()));
        Ok(Group {
            build: check_name(it.build, "build")?,
            streams: it.ids.iter().copied().zip(lives).collect(),
        })
    });
    groups.collect()
}

fn part_to_proto(part: &Part) -> proto::Part {
    proto::Part {
        id: part.id,
        tokens: part.tokens,
    }
}

fn part_from_proto(part: &proto::Part) -> Part {
    Part {
        id: part.id,
        tokens: part.tokens,
    }
}

fn sample_to_proto(ticket: u64, sample: Sample) -> proto::Release {
    let end = match sample.end {
        End::Done => proto::End::Done,
        End::Cancelled => proto::End::Cancelled,
        End::Refused => proto::End::Refused,
        End::Unreachable => proto::End::Unreachable,
        End::Broken => proto::End::Broken,
        End::Late => proto::End::Late,
        End::Preempted => proto::End::Preempted,
    };
    proto::Release {
        ticket,
        end: end.into(),
        first_token_us: sample.first_token.map(micros),
        between_tokens_us: sample.between_tokens.map(micros),
        whole_us: micros(sample.whole),
        tokens: sample.tokens,
        unlimited: sample.unlimited,
        longest_pause_us: sample.longest_pause.map(micros),
        load: sample.report.map(|it| proto::Load {
            running: it.load.running,
            waiting: it.load.waiting,
            slots: it.load.slots,
            percent: it.load.percent,
            age_us: micros(it.age),
        }),
    }
}

fn sample_from_proto(release: &proto::Release) -> Result<Sample, Error> {
    let end = match release.end() {
        proto::End::Unspecified => return Err(Error::Missing { part: "end" }),
        proto::End::Done => End::Done,
        proto::End::Cancelled => End::Cancelled,
        proto::End::Refused => End::Refused,
        proto::End::Unreachable => End::Unreachable,
        proto::End::Broken => End::Broken,
        proto::End::Late => End::Late,
        proto::End::Preempted => End::Preempted,
    };
    Ok(Sample {
        end,
        first_token: release.first_token_us.map(duration),
        between_tokens: release.between_tokens_us.map(duration),
        whole: duration(release.whole_us),
        tokens: release.tokens,
        unlimited: release.unlimited,
        longest_pause: release.longest_pause_us.map(duration),
        report: release.load.as_ref().map(|it| Report {
            load: Load {
                running: it.running,
                waiting: it.waiting,
                slots: it.slots,
                percent: it.percent,
            },
            age: duration(it.age_us),
        }),
    })
}

fn beat_to_proto(beat: Heartbeat) -> proto::Beat {
    let progress = beat.progress.into_iter().map(|it| proto::Progress {
        runner: it.runner,
        silent_us: micros(it.silent),
        between_tokens_us: it.between_tokens.map(micros),
    });
    proto::Beat {
        count: beat.count,
        digest: beat.digest,
        progress: progress.collect(),
    }
}

fn beat_from_proto(beat: proto::Beat) -> Result<Heartbeat, Error> {
    check_len(beat.progress.len(), "list of runners")?;
    let progress = beat.progress.into_iter().map(|it| {
        Ok(Progress {
            runner: check_name(it.runner, "runner")?,
            silent: duration(it.silent_us),
            between_tokens: it.between_tokens_us.map(duration),
        })
    });
    Ok(Heartbeat {
        count: beat.count,
        digest: beat.digest,
        progress: progress.collect::<Result<_, _>>()?,
    })
}

fn limit_to_proto((runner, rate): (RunnerId, Rate)) -> proto::Limit {
    proto::Limit {
        runner,
        milli: rate.milli(),
    }
}

fn limit_from_proto(limit: proto::Limit) -> Result<(RunnerId, Rate), Error> {
    let runner = check_name(limit.runner, "runner")?;
    Ok((runner, Rate::from_milli(limit.milli)))
}

fn brittle_from_proto(brittle: proto::Brittle) -> Result<(RunnerId, u32), Error> {
    Ok((check_name(brittle.runner, "runner")?, brittle.most))
}

fn recital_to_proto(recital: Inventory) -> proto::Recital {
    let held = recital.held.into_iter().map(|hold| proto::Hold {
        ask: Some(ask_to_proto(hold.ask)),
        runner: hold.runner,
        build: hold.build,
        alone: hold.alone,
        age_us: micros(hold.age),
    });
    let brittle = recital.brittle.into_iter();
    let brittle = brittle.map(|(runner, most)| proto::Brittle { runner, most });
    proto::Recital {
        waiting: recital.waiting,
        held: held.collect(),
        suspected: recital.suspected,
        quarantined: recital.quarantined,
        exposed: recital.exposed,
        limits: recital.limits.into_iter().map(limit_to_proto).collect(),
        streams: recital.streams.into_iter().map(group_to_proto).collect(),
        brittle: brittle.collect(),
    }
}

fn recital_from_proto(recital: proto::Recital) -> Result<Inventory, Error> {
    check_len(recital.held.len(), "list of slots")?;
    check_len(recital.waiting.len(), "list of tickets")?;
    check_len(
        recital
            .suspected
            .len()
            .max(recital.quarantined.len())
            .max(recital.exposed.len()),
        "list of marks",
    )?;
    check_len(recital.limits.len(), "list of limits")?;
    let limits = recital.limits.into_iter().map(limit_from_proto);
    check_len(recital.brittle.len(), "list of brittle runners")?;
    let brittle = recital.brittle.into_iter().map(brittle_from_proto);
    let held = recital.held.into_iter().map(|hold| {
        Ok(Hold {
            ask: ask_from_proto(hold.ask.ok_or(Error::Missing { part: "ask" })?)?,
            runner: check_name(hold.runner, "runner")?,
            build: check_name(hold.build, "build")?,
            alone: hold.alone,
            age: duration(hold.age_us),
        })
    });
    Ok(Inventory {
        waiting: recital.waiting,
        held: held.collect::<Result<_, _>>()?,
        suspected: recital.suspected,
        quarantined: recital.quarantined,
        exposed: recital.exposed,
        limits: limits.collect::<Result<_, _>>()?,
        streams: groups_from_proto(recital.streams)?,
        brittle: brittle.collect::<Result<_, _>>()?,
    })
}

fn reply_to_proto(reply: Reply) -> proto::Reply {
    use proto::reply::Reply as Out;
    let reply = match reply {
        Reply::Queued(ticket) => Out::Queued(ticket),
        Reply::Grant {
            ticket,
            runner,
            alone,
            address,
            build,
        } => Out::Grant(proto::Grant {
            ticket,
            runner,
            alone,
            address: address.map_or_else(String::new, |it| it.to_string()),
            build,
        }),
        Reply::Refused(ticket, refusal) => Out::Refused(refusal_to_proto(ticket, &refusal)),
        Reply::Preempt(ticket) => Out::Preempt(ticket),
        Reply::Ack => Out::Beat(proto::Nothing {}),
        Reply::RequestInventory => Out::Recite(proto::Recite::default()),
        Reply::FindStreams { search, streams } => Out::Recite(proto::Recite { streams, search }),
        Reply::Unknown(tickets) => Out::Unknown(proto::Unknown { tickets }),
        Reply::Mark(step) => Out::Mark(step_to_proto(step)),
        Reply::Streams(groups) => Out::Streams(proto::Records {
            groups: groups.into_iter().map(group_to_proto).collect(),
        }),
        Reply::Moved { to } => Out::Moved(proto::Moved {
            to: to.unwrap_or_default(),
        }),
    };
    proto::Reply { reply: Some(reply) }
}

fn reply_from_proto(reply: proto::Reply) -> Result<Reply, Error> {
    use proto::reply::Reply as In;
    Ok(match reply.reply.ok_or(Error::Missing { part: "reply" })? {
        In::Queued(ticket) => Reply::Queued(ticket),
        In::Grant(grant) => Reply::Grant {
            ticket: grant.ticket,
            runner: check_name(grant.runner, "runner")?,
            alone: grant.alone,
            address: grant.address.parse().ok(),
            build: check_name(grant.build, "build")?,
        },
        In::Refused(refused) => Reply::Refused(refused.ticket, refusal_from_proto(&refused)?),
        In::Preempt(ticket) => Reply::Preempt(ticket),
        In::Beat(_) => Reply::Ack,
        In::Recite(recite) if recite.search == 0 => Reply::RequestInventory,
        In::Recite(recite) => {
            check_len(recite.streams.len(), "list of streams")?;
            Reply::FindStreams {
                search: recite.search,
                streams: recite.streams,
            }
        }
        In::Unknown(unknown) => {
            check_len(unknown.tickets.len(), "list of tickets")?;
            Reply::Unknown(unknown.tickets)
        }
        In::Mark(mark) => Reply::Mark(step_from_proto(mark)?),
        In::Streams(records) => Reply::Streams(groups_from_proto(records.groups)?),
        In::Moved(moved) if moved.to.is_empty() => Reply::Moved { to: None },
        In::Moved(moved) => Reply::Moved {
            to: Some(check_name(moved.to, "instance")?),
        },
    })
}

fn refusal_to_proto(ticket: u64, refusal: &Refusal) -> proto::Refused {
    let (reason, retry_after) = match refusal {
        Refusal::Shed { retry_after } => (proto::Reason::Shed, *retry_after),
        Refusal::NoRunner { retry_after } => (proto::Reason::NoRunner, *retry_after),
        Refusal::Quarantined => (proto::Reason::Quarantined, Duration::ZERO),
        Refusal::Account { retry_after } => (proto::Reason::Account, *retry_after),
        Refusal::Late => (proto::Reason::Late, Duration::ZERO),
        Refusal::UnknownBuild { retry_after } => (proto::Reason::UnknownBuild, *retry_after),
        Refusal::NoBuild { .. } => (proto::Reason::NoBuild, Duration::ZERO),
        Refusal::Unreachable { retry_after } => (proto::Reason::Unreachable, *retry_after),
    };
    let build = match refusal {
        Refusal::NoBuild { build } => build.clone(),
        _ => String::new(),
    };
    proto::Refused {
        ticket,
        reason: reason.into(),
        retry_after_us: micros(retry_after),
        build,
    }
}

fn refusal_from_proto(refused: &proto::Refused) -> Result<Refusal, Error> {
    let retry_after = duration(refused.retry_after_us);
    Ok(match refused.reason() {
        proto::Reason::Unspecified => return Err(Error::Missing { part: "reason" }),
        proto::Reason::Shed => Refusal::Shed { retry_after },
        proto::Reason::NoRunner => Refusal::NoRunner { retry_after },
        proto::Reason::Quarantined => Refusal::Quarantined,
        proto::Reason::Account => Refusal::Account { retry_after },
        proto::Reason::Late => Refusal::Late,
        proto::Reason::UnknownBuild => Refusal::UnknownBuild { retry_after },
        proto::Reason::NoBuild => Refusal::NoBuild {
            build: check_name(refused.build.clone(), "build")?,
        },
        proto::Reason::Unreachable => Refusal::Unreachable { retry_after },
    })
}

fn step_to_proto(step: Step) -> proto::Mark {
    use proto::mark::Step as Out;
    let step = match step {
        Step::Suspected(all) => Out::Suspected(proto::Fingerprints { all }),
        Step::Quarantined(it) => Out::Quarantined(it),
        Step::Cleared(it) => Out::Cleared(it),
    };
    proto::Mark { step: Some(step) }
}

fn step_from_proto(mark: proto::Mark) -> Result<Step, Error> {
    use proto::mark::Step as In;
    Ok(match mark.step.ok_or(Error::Missing { part: "mark" })? {
        In::Suspected(it) => {
            check_len(it.all.len(), "list of marks")?;
            Step::Suspected(it.all)
        }
        In::Quarantined(it) => Step::Quarantined(it),
        In::Cleared(it) => Step::Cleared(it),
    })
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn duration(micros: u64) -> Duration {
    Duration::from_micros(micros).min(MAX_DURATION)
}

fn check_name(text: String, part: &'static str) -> Result<String, Error> {
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong { part });
    }
    Ok(text)
}

fn check_len(len: usize, part: &'static str) -> Result<(), Error> {
    if len > MAX_ITEMS {
        return Err(Error::TooLong { part });
    }
    Ok(())
}
