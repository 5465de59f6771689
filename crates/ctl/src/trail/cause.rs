//! The cause of a failed request, in words.
//!
//! States how the request ended and what to look at next; the pages of
//! `docs/operations` continue from there.

use super::{Line, Silence, Trail};

/// How a request ended, and what to look at next.
#[must_use]
pub fn cause(trail: &Trail) -> String {
    let Some(last) = trail.lines.last() else {
        return "no line names this request: it never arrived at these processes, it went as it \
                should while calm requests were sampled, or its process was killed"
            .to_owned();
    };
    match last.event.as_str() {
        "CP1002" => describe_refusal(trail, last),
        "CP1003" => caller_disconnected(trail, last),
        "CP1005" => describe_answer(trail, last),
        "CP1006" => stream_cut(trail, last),
        _ => describe_unfinished(trail, last),
    }
}

fn describe_refusal(trail: &Trail, line: &Line) -> String {
    let status = line.number("status").unwrap_or_default();
    let proof = match line.number("proof_age_ms") {
        Some(age) => format!("the proof that its catalogue was current was {age} ms old"),
        None => "it had no proof that its catalogue was current".to_owned(),
    };
    let reason = match line.text("kind") {
        "shed" => "its class could not be served in time: see the burst page".to_owned(),
        "late" => "its time passed while it waited: see the burst page".to_owned(),
        "no-runner" => "no runner of its service was in use: see CP0305 and CP0553".to_owned(),
        "unreachable" => "no arbiter answered: see CP0303, CP0304 and CP0505".to_owned(),
        "cut-off" => format!("{proof}: see CP0401, CP0701 and CP0705"),
        kind @ ("key" | "route") => format!(
            "its {kind} is not in version {}; {proof}: see CP0708 and CP1104",
            line.number("version").unwrap_or_default()
        ),
        "upstream" | "refused" => attempts(trail),
        _ => line.text("message").to_owned(),
    };
    format!("refused with {status}: {reason}")
}

fn caller_disconnected(trail: &Trail, line: &Line) -> String {
    let after = line.number("after_ms").unwrap_or_default();
    let place = match line.number("sent") {
        Some(0) => "while it waited for a runner".to_owned(),
        _ => match line.number("last_event") {
            None | Some(0) => format!("before an answer of runner {}", last_runner(trail)),
            Some(event) => format!("after event {event} of runner {}", last_runner(trail)),
        },
    };
    format!(
        "the caller left after {after} ms, {place}{}",
        silence_suffix(trail)
    )
}

fn describe_answer(trail: &Trail, line: &Line) -> String {
    let took = line.number("took_ms").unwrap_or_default();
    format!(
        "answered in full by runner {} after {took} ms, at attempt {}; if the caller has no \
         answer, it was lost on the way to it{}",
        line.text("runner"),
        line.number("sent").unwrap_or(1),
        silence_suffix(trail)
    )
}

fn stream_cut(trail: &Trail, line: &Line) -> String {
    format!(
        "stream cut after {} ms and event {}: {}",
        line.number("after_ms").unwrap_or_default(),
        line.number("last_event").unwrap_or_default(),
        attempts(trail)
    )
}

fn describe_unfinished(trail: &Trail, line: &Line) -> String {
    match &trail.silence {
        _ if line.event == "CP1004" => format!("{}{}", attempts(trail), silence_suffix(trail)),
        Some(silence) => describe_silence(silence),
        None => format!(
            "sent to runner {}, and no line on its end: it was still at work, or its end was \
             not among the sampled lines",
            line.text("runner")
        ),
    }
}

/// How the attempts failed, and why there was no further one.
fn attempts(trail: &Trail) -> String {
    let mut failures = trail.lines.iter().filter(|it| it.event == "CP1004");
    let descriptions: Vec<String> = failures
        .clone()
        .map(|it| format!("{} ({})", it.text("runner"), it.text("message")))
        .collect();
    let Some(last) = failures.next_back() else {
        return "no attempt at a runner is told".to_owned();
    };
    let why = match last.text("decision") {
        "GiveUp(MayHaveRun)" => "it may have run, and its route allows no second run",
        "GiveUp(Attempts)" => "its route allows no more attempts",
        "GiveUp(Late)" => "no time was left for another attempt",
        "GiveUp(Budget)" => "the service's retry budget was used up",
        "GiveUp(Ran)" => "it ran: the answer that came is the answer",
        _ => "another attempt was to follow",
    };
    format!("failed at {}; {why}", descriptions.join(", "))
}

fn last_runner(trail: &Trail) -> &str {
    let named = trail.lines.iter().rev().map(|it| it.text("runner"));
    named
        .into_iter()
        .find(|it| !it.is_empty())
        .unwrap_or("unknown")
}

fn silence_suffix(trail: &Trail) -> String {
    let silence = trail.silence.as_ref().map(describe_silence);
    silence.map_or_else(String::new, |it| format!("; {it}"))
}

fn describe_silence(silence: &Silence) -> String {
    let Silence {
        origin, from_ms, ..
    } = silence;
    match (silence.to_ms, silence.restarted) {
        (None, _) => format!("process {origin} wrote nothing more: it was killed, or the log ends"),
        (Some(to), true) => format!(
            "process {origin} ended and was started again {} ms after its last line",
            to.saturating_sub(*from_ms)
        ),
        (Some(to), false) => format!(
            "process {origin} wrote nothing for {} ms: it stood still or was cut off",
            to.saturating_sub(*from_ms)
        ),
    }
}
