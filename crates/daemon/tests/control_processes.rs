//! Accepted changes with real processes: kills, pauses, lost disks, concurrent
//! changes and resends.

mod common;

use std::{collections::BTreeSet, fs};

use googletest::prelude::*;
use serde_json::{Value, json};

use common::{
    cluster::{Cluster, Plan, catalogue},
    eventually,
    http::Reply,
};

/// Daemons without runners, because only the control log is tested.
fn plan() -> Plan {
    Plan {
        engines: 0,
        services: 0,
        ..Plan::default()
    }
}

fn formed() -> Cluster {
    let cluster = Cluster::start_bare(plan());
    cluster.form();
    cluster.apply("first", &catalogue());
    cluster
}

fn class(name: &str) -> Value {
    json!([{
        "kind": "class", "name": name, "owner": "tests", "tier": 1,
        "first_token_ms": 500, "between_tokens_ms": 100, "whole_ms": 10_000,
        "wait_bound_ms": 2_000, "queue_limit": 256, "preemptible": false,
    }])
}

fn change(cluster: &Cluster, daemon: usize, id: &str, base: u64, puts: &Value) -> Reply {
    let change = json!({"id": id, "base": base, "operator": "test", "puts": puts});
    cluster.admin(daemon, "POST", "/v1/changes", &change)
}

fn revision(cluster: &Cluster, daemon: usize) -> Option<u64> {
    let reply = cluster.admin(daemon, "GET", "/v1/catalogue", &Value::Null);
    (reply.status == 200).then(|| reply.json()["revision"].as_u64())?
}

fn names(cluster: &Cluster, daemon: usize) -> BTreeSet<String> {
    let reply = cluster.admin(daemon, "GET", "/v1/catalogue", &Value::Null);
    let entries = reply.json()["entries"].clone();
    let entries = entries.as_array().cloned().unwrap_or_default();
    let names = entries.iter().filter_map(|it| it["name"].as_str());
    names.map(str::to_owned).collect()
}

fn status(cluster: &Cluster, daemon: usize) -> Value {
    cluster
        .admin(daemon, "GET", "/v1/status", &Value::Null)
        .json()
}

fn leader(cluster: &Cluster, queried: usize) -> usize {
    eventually("a leader", || {
        let status = status(cluster, queried);
        let name = status["leader"].as_str()?;
        cluster.daemons.iter().position(|it| it.name == name)
    })
}

/// Resends a change under one id until it is accepted; returns its revision.
fn accept(cluster: &Cluster, daemon: usize, id: &str, base: u64, puts: &Value) -> u64 {
    eventually("the change is accepted", || {
        let reply = change(cluster, daemon, id, base, puts);
        assert_ne!(reply.status, 409, "{}", reply.text());
        (reply.status == 200).then(|| reply.json()["revision"].as_u64())?
    })
}

#[gtest]
fn hundreds_of_changes_survive_a_kill_of_every_process() {
    let mut cluster = formed();
    let mut base = revision(&cluster, 0).expect("a revision");
    for number in 0..300 {
        let daemon = number % 3;
        base = accept(
            &cluster,
            daemon,
            &format!("c{number}"),
            base,
            &class(&format!("k{number}")),
        );
    }
    let before = eventually("the last change is in force", || {
        (revision(&cluster, 0) == Some(base)).then(|| names(&cluster, 0))
    });
    expect_that!(before.len(), ge(300));
    for number in 0..3 {
        cluster.daemons[number].process.kill();
    }
    for number in 0..3 {
        cluster.restart(number);
    }
    for number in 0..3 {
        let mut seen = 0;
        eventually("every change is in force again", || {
            let now = revision(&cluster, number)?;
            assert!(now >= seen, "the revision went back from {seen} to {now}");
            seen = now;
            (now == base).then_some(())
        });
        expect_that!(names(&cluster, number) == before, eq(true));
    }
    // The same change sent again to another daemon gets the first answer.
    let again = change(&cluster, 1, "c299", base - 1, &class("k299"));
    expect_that!(again.status, eq(200), "{}", again.text());
    expect_that!(again.json()["revision"].as_u64(), some(eq(base)));
}

#[gtest]
fn a_paused_leader_that_resumes_reverts_nothing() {
    let cluster = formed();
    let base = revision(&cluster, 0).expect("a revision");
    let old = leader(&cluster, 0);
    let others: Vec<usize> = (0..3).filter(|it| *it != old).collect();
    cluster.daemons[old].process.signal("STOP");
    let now = accept(&cluster, others[0], "while-frozen", base, &class("frozen"));
    cluster.daemons[old].process.signal("CONT");
    // The first request it gets is a change based on the revision that it still sees as current.
    let stale = change(&cluster, old, "after-thaw", base, &class("thawed"));
    expect_that!(stale.status, not(eq(200)), "{}", stale.text());
    eventually("it has caught up", || {
        (revision(&cluster, old) == Some(now)).then_some(())
    });
    expect_that!(names(&cluster, old).contains("thawed"), eq(false));
    for number in 0..3 {
        expect_that!(revision(&cluster, number), some(eq(now)));
    }
}

#[gtest]
fn of_concurrent_changes_on_one_base_one_wins_and_is_named() {
    let cluster = formed();
    for round in 0..10 {
        let base = eventually("all daemons have one revision", || {
            let all: Option<Vec<u64>> = (0..3).map(|it| revision(&cluster, it)).collect();
            let all = all?;
            all.iter().all(|it| *it == all[0]).then_some(all[0])
        });
        let send = |daemon: usize| {
            let id = format!("race-{round}-{daemon}");
            change(&cluster, daemon, &id, base, &class(&format!("r{daemon}")))
        };
        let replies = std::thread::scope(|scope| {
            let racers: Vec<_> = (0..3)
                .map(|daemon| scope.spawn(move || send(daemon)))
                .collect();
            let ended = racers.into_iter().map(|it| it.join().expect("a reply"));
            ended.collect::<Vec<Reply>>()
        });
        let winners: Vec<usize> = (0..3).filter(|it| replies[*it].status == 200).collect();
        expect_that!(winners.len(), eq(1));
        for (daemon, reply) in replies.iter().enumerate() {
            if !winners.contains(&daemon) {
                expect_that!(reply.status, eq(409), "{}", reply.text());
                expect_that!(
                    reply.text(),
                    contains_substring(format!("race-{round}-{}", winners[0]))
                );
            }
        }
    }
}

#[gtest]
fn a_resend_to_another_daemon_is_recognised() {
    let cluster = formed();
    let base = revision(&cluster, 0).expect("a revision");
    let first = accept(&cluster, 0, "resent", base, &class("once"));
    let same = change(&cluster, 1, "resent", base, &class("once"));
    expect_that!(same.status, eq(200));
    expect_that!(same.json()["revision"].as_u64(), some(eq(first)));
    let other = change(&cluster, 2, "resent", base, &class("twice"));
    expect_that!(other.status, eq(409), "{}", other.text());
    expect_that!(other.text(), contains_substring("another body"));
    expect_that!(names(&cluster, 0).contains("twice"), eq(false));
}

/// Deletes one daemon's data folder and restarts it; returns its old and new replica.
fn lose_disk(cluster: &mut Cluster, number: usize) -> (String, String) {
    let old = replica_of(cluster, number, number);
    cluster.daemons[number].process.kill();
    let folder = cluster.folder().join(&cluster.daemons[number].name);
    fs::remove_dir_all(folder).expect("the folder is removed");
    cluster.restart(number);
    let queried = (number + 1) % 3;
    let new = eventually("the new replica is known", || {
        let now = replica_of(cluster, queried, number);
        (now != old && !now.is_empty()).then_some(now)
    });
    (old, new)
}

fn replica_of(cluster: &Cluster, queried: usize, number: usize) -> String {
    let status = status(cluster, queried);
    let name = &cluster.daemons[number].name;
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let member = members.iter().find(|it| it["instance"] == **name);
    let replica = member.and_then(|it| it["replica"].as_str().map(str::to_owned));
    replica.unwrap_or_default()
}

#[gtest]
fn a_replica_with_a_lost_disk_votes_only_after_replacement_and_then_another_may_fail() {
    let mut cluster = formed();
    let mut base = revision(&cluster, 0).expect("a revision");
    for number in 0..50 {
        base = accept(
            &cluster,
            0,
            &format!("c{number}"),
            base,
            &class(&format!("k{number}")),
        );
    }
    let first = (leader(&cluster, 0) + 1) % 3;
    let (old, new) = lose_disk(&mut cluster, first);
    let queried = (first + 1) % 3;
    let voters = |cluster: &Cluster| status(cluster, queried)["voters"].clone();
    expect_that!(voters(&cluster).to_string().contains(&new), eq(false));
    eventually("the replica is replaced", || {
        let body = json!({"old": old, "new": new});
        let reply = cluster.admin(queried, "POST", "/v1/replicas/replace", &body);
        (reply.status == 200).then_some(())
    });
    expect_that!(voters(&cluster).to_string().contains(&new), eq(true));
    expect_that!(voters(&cluster).to_string().contains(&old), eq(false));
    // Once the replacement is confirmed, another daemon may fail at once and lose its disk too.
    let second = leader(&cluster, queried);
    let second = if second == first { queried } else { second };
    cluster.daemons[second].process.kill();
    let folder = cluster.folder().join(&cluster.daemons[second].name);
    fs::remove_dir_all(folder).expect("the folder is removed");
    let next = accept(&cluster, first, "after-both", base, &class("after-both"));
    expect_that!(next, eq(base + 1));
    eventually("the new replica has every change", || {
        (revision(&cluster, first) == Some(next)).then_some(())
    });
    expect_that!(names(&cluster, first).contains("k49"), eq(true));
}

#[gtest]
fn no_second_cluster_forms_by_restart() {
    let mut cluster = formed();
    let base = revision(&cluster, 0).expect("a revision");
    // Two of three lose their disks: the last must not continue alone, nor may a new
    // cluster form.
    for number in [1, 2] {
        cluster.daemons[number].process.kill();
        let folder = cluster.folder().join(&cluster.daemons[number].name);
        fs::remove_dir_all(folder).expect("the folder is removed");
    }
    for number in 0..3 {
        cluster.restart(number);
    }
    let reply = change(&cluster, 1, "orphan", base, &class("orphan"));
    expect_that!(reply.status, not(eq(200)), "{}", reply.text());
    let reply = change(&cluster, 0, "orphan", base, &class("orphan"));
    expect_that!(reply.status, not(eq(200)), "{}", reply.text());
    let roles = status(&cluster, 0)["replicas"].to_string();
    expect_that!(roles.contains("leader"), eq(false), "{roles}");
}

#[gtest]
fn a_damaged_folder_stops_the_start_and_names_the_remedy() {
    let mut cluster = formed();
    let base = revision(&cluster, 0).expect("a revision");
    accept(&cluster, 0, "one-more", base, &class("one-more"));
    let number = 2;
    cluster.daemons[number].process.kill();
    let folder = cluster.folder().join(&cluster.daemons[number].name);
    let log = fs::read_dir(&folder)
        .expect("the folder")
        .filter_map(|it| Some(it.ok()?.path()))
        .filter(|it| it.metadata().is_ok_and(|it| it.len() > 200))
        .max_by_key(|it| it.metadata().map_or(0, |it| it.len()))
        .expect("a log");
    let mut bytes = fs::read(&log).expect("the log");
    bytes[64] ^= 0xff;
    fs::write(&log, bytes).expect("the log is written");
    let program = env!("CARGO_BIN_EXE_citrond");
    let output = std::process::Command::new(program)
        .args(["--instance=entry-2", "--domain=zone-2", "--cluster=tests"])
        .args([
            "--callers=127.0.0.1:0",
            "--peer=127.0.0.1:0",
            "--admin=127.0.0.1:0",
        ])
        .arg(format!("--platform=http://{}", cluster.platform.address))
        .arg(format!("--data={}", folder.display()))
        .arg(format!(
            "--operator-token-file={}",
            cluster.folder().join("operators").display()
        ))
        .output()
        .expect("citrond runs");
    expect_that!(output.status.success(), eq(false));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text, contains_substring("replace"));
    // The other daemons still accept changes.
    accept(&cluster, 0, "without-it", base + 1, &class("without-it"));
}

#[gtest]
fn a_leader_killed_while_changes_come_in_loses_none_that_was_accepted() {
    let mut cluster = formed();
    let mut base = revision(&cluster, 0).expect("a revision");
    let mut accepted = Vec::new();
    for round in 0..3 {
        let victim = leader(&cluster, 0);
        for number in 0..10 {
            let name = format!("k{round}-{number}");
            let daemon = if number > 5 {
                (victim + 1) % 3
            } else {
                number % 3
            };
            if number == 6 {
                cluster.daemons[victim].process.kill();
            }
            base = accept(&cluster, daemon, &name, base, &class(&name));
            accepted.push(name);
        }
        cluster.restart(victim);
        eventually("it has caught up", || {
            (revision(&cluster, victim) == Some(base)).then_some(())
        });
    }
    for number in 0..3 {
        let kept = eventually("all changes are in force", || {
            (revision(&cluster, number) == Some(base)).then(|| names(&cluster, number))
        });
        expect_that!(accepted.iter().all(|it| kept.contains(it)), eq(true));
    }
}

/// A file size limit on this child process alone makes its writes fail.
#[gtest]
fn a_disk_that_fails_under_a_running_process_ends_it() {
    let mut cluster = Cluster::start_bare(Plan {
        daemons: 1,
        replicas: 1,
        ..plan()
    });
    cluster.form();
    cluster.apply("first", &catalogue());
    cluster.restart_with_script(0, "trap '' XFSZ; ulimit -f 64; exec \"$0\" \"$@\"");
    let mut base = eventually("the catalogue is back", || {
        revision(&cluster, 0).filter(|it| *it > 0)
    });
    let mut accepted = 0;
    for number in 0..5_000 {
        let name = format!("k{number}");
        let reply = change(&cluster, 0, &name, base, &class(&name));
        if reply.status != 200 {
            break;
        }
        base = reply.json()["revision"].as_u64().expect("a revision");
        accepted += 1;
    }
    let ended = cluster.daemons[0].process.wait();
    expect_that!(ended.success(), eq(false));
    expect_that!(
        cluster.daemons[0].process.log(),
        contains_substring("CP0407")
    );
    cluster.restart(0);
    let back = eventually("the accepted changes are in force again", || {
        revision(&cluster, 0).filter(|it| *it >= base)
    });
    // One more change may have been written whose answer was lost.
    expect_that!(back, le(base + 1));
    expect_that!(names(&cluster, 0).len(), ge(accepted));
}
