//! Parts of prompts that crash runners: what the slots tell, and whom a conviction stops.

use std::time::Instant;

use super::{Arbiter, Effect, End, Key, Note, Part, Refusal, Sample, hold::Running};
use crate::{
    crash::{
        Mark, Step,
        parts::{Conviction, InFlight, Verdict, mark_of},
    },
    id::{Fingerprint, PartId},
};

/// Parts that other requests may hold too; the last one belongs to its request.
fn common(prompt: &[Part]) -> &[Part] {
    prompt.split_last().map_or(&[], |(_, common)| common)
}

fn ids(prompt: &[Part]) -> Vec<PartId> {
    common(prompt).iter().map(|it| it.id).collect()
}

impl Arbiter {
    /// The first part of a prompt that is convicted, with its mark.
    pub(super) fn convicted_part(&self, prompt: &[Part]) -> Option<(PartId, Fingerprint)> {
        let marks = common(prompt)
            .iter()
            .map(|it| (it.id, mark_of(&self.service, it.id)));
        let mut convicted =
            marks.filter(|(_, mark)| self.marks.get(*mark) == Some(Mark::Quarantined));
        convicted.next()
    }

    /// Refuses a request with a convicted part, unless it may test the conviction.
    pub(super) fn admit_parts(
        &mut self,
        now: Instant,
        prompt: &[Part],
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let Some((part, mark)) = self.convicted_part(prompt) else {
            return Ok(());
        };
        if !self.evidence.probe(now, mark) {
            return Err(Refusal::Quarantined);
        }
        effects.push(Effect::Note(Note::PartProbed(part)));
        Ok(())
    }

    /// Records how the use of a slot ended; true if a convicted part explains it, so that
    /// the request is not held responsible.
    pub(super) fn on_parts_end(
        &mut self,
        now: Instant,
        running: &Running,
        sample: &Sample,
        effects: &mut Vec<Effect>,
    ) -> bool {
        match sample.end {
            End::Done => {
                self.evidence.on_answered(&ids(&running.prompt));
                self.evidence
                    .on_survived(now, &running.runner, running.since);
                self.clear_parts(&running.prompt, effects);
                false
            }
            End::Broken => self.on_parts_crash(now, running, sample),
            End::Cancelled | End::Refused | End::Unreachable | End::Late | End::Preempted => false,
        }
    }

    /// Clears the marks of parts that were answered in full.
    fn clear_parts(&mut self, prompt: &[Part], effects: &mut Vec<Effect>) {
        for part in common(prompt) {
            let mark = mark_of(&self.service, part.id);
            match self.marks.get(mark) {
                Some(Mark::Suspected) => self.mark(Step::Cleared(mark), effects),
                // Only the control log lifts a quarantine.
                Some(Mark::Quarantined) => effects.push(Effect::Mark(Step::Cleared(mark))),
                None => {}
            }
        }
    }

    fn on_parts_crash(&mut self, now: Instant, running: &Running, sample: &Sample) -> bool {
        let runner = &running.runner;
        let mut there = self.running.values().filter(|it| it.runner == *runner);
        if self.convicted_part(&running.prompt).is_some()
            || there.any(|it| self.convicted_part(&it.prompt).is_some())
        {
            self.evidence.explain(now, runner);
        }
        if self.evidence.is_explained(now, runner) {
            return true;
        }
        let answering = sample
            .first_token
            .map(|first| sample.whole.saturating_sub(first));
        let in_flight = InFlight {
            runner,
            request: running.fingerprint,
            parts: &ids(&running.prompt),
            granted: running.since,
            answering,
        };
        self.evidence.on_crash(now, &in_flight);
        false
    }

    /// Marks the part that explains the latest crashes, if there is one.
    pub(super) fn judge_crashes(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let (marks, service) = (&self.marks, &self.service);
        let is_suspected =
            |part: PartId| marks.get(mark_of(service, part)) == Some(Mark::Suspected);
        match self.evidence.judge(now, is_suspected) {
            Some(Verdict::Suspected(part)) => {
                let mark = mark_of(&self.service, part);
                self.mark(Step::Suspected(vec![mark]), effects);
            }
            Some(Verdict::Convicted(conviction)) => self.convict(now, conviction, effects),
            None => {}
        }
    }

    fn convict(&mut self, now: Instant, conviction: Conviction, effects: &mut Vec<Effect>) {
        let mark = mark_of(&self.service, conviction.part);
        self.evidence.start_probes(now, mark);
        effects.push(Effect::Note(Note::PartConvicted {
            part: conviction.part,
            crashes: conviction.crashes,
            beside: conviction.beside.len(),
        }));
        self.mark(Step::Quarantined(mark), effects);
        for request in conviction.beside {
            self.clear_suspicion(now, request, effects);
        }
        self.refuse_convicted(effects);
    }

    /// Follows the convictions in the control log, those of other arbiters too.
    pub(super) fn on_part_marks(&mut self, effects: &mut Vec<Effect>) {
        let marks = &self.marks;
        self.evidence
            .retain_probes(|mark| marks.get(mark) == Some(Mark::Quarantined));
        self.refuse_convicted(effects);
    }

    /// Refuses the waiting requests with a convicted part.
    fn refuse_convicted(&mut self, effects: &mut Vec<Effect>) {
        let waiting = self.queue.items().chain(self.suspects.items());
        let waiting = waiting.chain(self.searches.items());
        let convicted = waiting.filter(|it| self.convicted_part(&it.prompt).is_some());
        let keys: Vec<Key> = convicted.map(|it| it.key).collect();
        for key in keys {
            if let Some(item) = self.take_waiting(key) {
                self.refuse_item(&item, Refusal::Quarantined, effects);
            }
        }
    }
}
