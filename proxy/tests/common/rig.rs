//! The running program under limits, with hosts and sound clients.

use super::abuse::{Answers, Runs, SOUND_PREFIX};
use super::usage::peak_resident_bytes;
use super::*;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The unit of the memory limit.
const BYTES_PER_MB: usize = 1_000_000;
/// Hosts of each kind.
const HOSTS_OF_A_KIND: usize = 20;
/// How long a sound client waits, as its requests say.
pub const SOUND_BUDGET: Duration = Duration::from_secs(2);
/// By how much its answer may be later on a busy machine.
const SOUND_SLACK: Duration = Duration::from_millis(500);

/// The limits that the configuration states.
#[derive(Clone, Copy, Debug)]
pub struct LimitsOfRun {
    pub memory_mb: usize,
    pub sockets: usize,
    pub cores: f64,
}

/// The least memory that the pages name, with the most descriptors.
pub const LEAST_MEMORY: LimitsOfRun = LimitsOfRun { memory_mb: 32, sockets: 1_024, cores: 1.0 };

/// The operators' file that is in service.
fn in_service() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/flaxhead.ini")
}

/// A running program.
pub struct Rig {
    pub child: Running,
    pub address: SocketAddr,
    pub runs: Runs,
    pub discovery: Discovery,
    limits: LimitsOfRun,
    sent: Cell<u64>,
}

impl Rig {
    /// Starts the program with the operators' file that is in service.
    pub async fn start(name: &str, limits: LimitsOfRun, answers: &[Answers]) -> Rig {
        Rig::with(name, limits, answers, &in_service(), |_| ()).await
    }

    /// The same where no client waits longer than `deadline`.
    pub async fn with_deadline(
        name: &str,
        limits: LimitsOfRun,
        answers: &[Answers],
        deadline: Duration,
    ) -> Rig {
        let set_deadline = |config: &mut serde_json::Value| {
            for class in 0..3 {
                config["settings"]["classes"][class]["deadline_us"] = (deadline.as_micros() as u64).into();
                config["settings"]["classes"][class]["objective_us"] =
                    (deadline.as_micros() as u64 / 2).into();
            }
        };
        Rig::with(name, limits, answers, &in_service(), set_deadline).await
    }

    /// Starts the program with an operators' file.
    pub async fn with_features(name: &str, limits: LimitsOfRun, answers: &[Answers], file: &Path) -> Rig {
        Rig::with(name, limits, answers, file, |_| ()).await
    }

    async fn with(
        name: &str,
        limits: LimitsOfRun,
        answers: &[Answers],
        file: &Path,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Rig {
        let runs = Runs::default();
        let mut hosts = Vec::new();
        for answers in answers {
            for _ in 0..HOSTS_OF_A_KIND {
                let address = answers.host(runs.clone()).await;
                hosts.push(entry(&format!("s-{}", hosts.len()), address, "Ready"));
            }
        }
        let (address, discovery) = (free_address(), Discovery::quiet().await);
        let config = configuration(discovery.address, &[], |config| {
            config["listen"] = address.to_string().into();
            config["limits"]["memory_mb"] = limits.memory_mb.into();
            config["limits"]["sockets"] = limits.sockets.into();
            config["limits"]["cores"] = limits.cores.into();
            config["settings"]["discovery"] = "push".into();
            config["known"]["hosts"] = hosts.into();
            change(config);
        });
        let (mut command, path) = program(&config, &format!("{name}.json"));
        let log = std::fs::File::create(path.with_extension("log")).expect("a log");
        let child = Running::start(command.arg(file).stderr(log));
        while connect(address).await.ask(HEALTH).await.status() != 200 {
            sleep(Duration::from_millis(5)).await;
        }
        Rig { child, address, runs, discovery, limits, sent: Cell::new(0) }
    }

    /// A request of a sound client, with a body of this size; its status.
    pub async fn sound_call(&self, body_bytes: usize) -> u16 {
        let number = self.sent.get() + 1;
        self.sent.set(number);
        let id = format!("{SOUND_PREFIX}{number:014}");
        let text = request("unsafe", "", &"y".repeat(body_bytes)).replace("9b1f03aa5c7e2d41", &id);
        let text = text.replace("8000", &SOUND_BUDGET.as_millis().to_string());
        let asked = async { connect(self.address).await.ask(&text).await };
        let began = Instant::now();
        let answer = timeout(SOUND_BUDGET + SOUND_SLACK, asked).await;
        let answer = answer.unwrap_or_else(|_| panic!("{id} had no answer after {:?}", began.elapsed()));
        if answer.status() != 200 {
            println!("{id} was refused after {:?}: {answer:?}", began.elapsed());
        }
        answer.status()
    }

    /// Sound clients ask one after the other for so long; how often each status came.
    pub async fn sound_calls(&self, time: Duration) -> BTreeMap<u16, usize> {
        let began = Instant::now();
        let mut statuses = BTreeMap::new();
        while began.elapsed() < time {
            *statuses.entry(self.sound_call(20).await).or_default() += 1;
            sleep(Duration::from_millis(20)).await;
        }
        statuses
    }

    /// Fails where the process has ended, or has ever used more memory than it may.
    pub fn assert_within_limits(&mut self, what: &str) {
        assert!(self.child.try_wait().expect("it can be waited for").is_none(), "{what}: it has ended");
        let peak = peak_resident_bytes(&self.child).expect("a running process");
        let limit = self.limits.memory_mb * BYTES_PER_MB;
        println!("{what}: {} KB at the most, of {} KB", peak >> 10, limit >> 10);
        assert!(peak < limit, "{what}: {peak} bytes, more than {limit}");
    }

    /// Fails where a request ran twice.
    pub fn assert_ran_once(&self, what: &str) {
        let runs = self.runs.borrow();
        let twice: Vec<_> = runs.iter().filter(|(id, runs)| is_unsafe(id) && **runs > 1).collect();
        assert!(twice.is_empty(), "{what}: ran twice: {twice:?}");
    }
}

/// Whether an id is of a request that must not run twice.
fn is_unsafe(id: &str) -> bool {
    id.starts_with(SOUND_PREFIX)
}
