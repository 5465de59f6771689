//! Spread of reclaimable runners over the failure domains.

/// A failure domain that runners are spread over.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) least: u32,
    pub(super) most: u32,
    pub(super) price: u32,
}

/// Number of runners in each place, so that those left without the fullest one are at
/// least `need`, or at least all of them are if only one place has room.
///
/// One runner at a time goes to the emptiest place with room, the cheapest of these.
pub(super) fn spread(need: u32, places: &[Place]) -> Vec<u32> {
    let mut counts: Vec<u32> = places.iter().map(|it| it.least.min(it.most)).collect();
    while survivors(&counts) < need {
        let room = |place: &usize| counts[*place] < places[*place].most;
        let open: Vec<usize> = (0..places.len()).filter(room).collect();
        let rank = |place: &usize| (counts[*place], places[*place].price);
        let Some(emptiest) = open.iter().copied().min_by_key(rank) else {
            break;
        };
        let fullest = counts.iter().copied().max().unwrap_or_default();
        // One more in the fullest place is of use only if another one can follow it.
        let is_of_use = counts[emptiest] < fullest || open.len() > 1;
        if !is_of_use && counts.iter().sum::<u32>() >= need {
            break;
        }
        counts[emptiest] += 1;
    }
    counts
}

/// Runners left if the fullest place loses all of its own.
pub(super) fn survivors(counts: &[u32]) -> u32 {
    let most = counts.iter().copied().max().unwrap_or_default();
    counts.iter().sum::<u32>() - most
}
