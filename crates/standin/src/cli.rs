//! The command line of `citron-standin`.

use std::{
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use gumdrop::Options;

use crate::{
    engine::{self, Engine},
    load,
    platform::Platform,
    server,
    service::{self, Service},
};

/// Test doubles for the systems around the citronpond router, and a load generator.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a model engine")]
    Engine(EngineArgs),
    #[options(help = "run a plain service")]
    Service(ServiceArgs),
    #[options(help = "run a platform with an instance list")]
    Platform(PlatformArgs),
    #[options(help = "drive load and report as JSON")]
    Load(LoadArgs),
}

#[derive(Debug, Options)]
struct EngineArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "loopback address to listen on", default = "127.0.0.1:0")]
    listen: String,
    #[options(no_short, help = "requests in the batch at most", default = "8")]
    slots: u32,
    #[options(
        no_short,
        help = "microseconds between tokens when one request runs",
        default = "10000"
    )]
    token_interval_us: u64,
    #[options(
        no_short,
        help = "percent by which each further request slows all",
        default = "3"
    )]
    degrade_percent: u32,
    #[options(
        no_short,
        help = "microseconds of prefill for each prompt token",
        default = "200"
    )]
    prefill_us: u64,
    #[options(no_short, help = "prompt prefixes kept in the cache", default = "64")]
    prefixes: usize,
    #[options(no_short, help = "age of the reported load", default = "500")]
    load_lag_ms: u64,
    #[options(no_short, help = "mean tokens of an answer", default = "64")]
    mean_tokens: u32,
    #[options(no_short, help = "least tokens of an answer", default = "1")]
    min_tokens: u32,
    #[options(no_short, help = "seed of the answers' lengths", default = "1")]
    seed: u64,
}

#[derive(Debug, Options)]
struct ServiceArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "loopback address to listen on", default = "127.0.0.1:0")]
    listen: String,
    #[options(no_short, help = "time that a call runs", default = "5")]
    run_ms: u64,
    #[options(
        no_short,
        help = "calls that it says it can run at once",
        default = "16"
    )]
    slots: u32,
}

#[derive(Debug, Options)]
struct PlatformArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "loopback address to listen on", default = "127.0.0.1:0")]
    listen: String,
    #[options(no_short, help = "age of the list that is shown", default = "0")]
    lag_ms: u64,
    #[options(no_short, help = "file with the first list, JSON")]
    list: Option<String>,
}

#[derive(Debug, Options)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of the command line"
)]
struct LoadArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "loopback addresses of entry instances, separated by commas"
    )]
    entries: String,
    #[options(no_short, help = "the addresses are stand-ins, without a router")]
    direct: bool,
    #[options(no_short, help = "use connections again")]
    keep_alive: bool,
    #[options(no_short, help = "do not come back after a refusal")]
    no_returns: bool,
    #[options(no_short, help = "requests a second", default = "10")]
    rate: f64,
    #[options(
        no_short,
        help = "callers that send one request after the other, in place of a rate",
        default = "0"
    )]
    workers: usize,
    #[options(
        no_short,
        help = "streams to open at once and keep, in place of a rate",
        default = "0"
    )]
    hold: usize,
    #[options(no_short, help = "seconds in which requests arrive", default = "10")]
    seconds: f64,
    #[options(
        no_short,
        help = "seconds at the start that are not reported",
        default = "0"
    )]
    warmup: f64,
    #[options(no_short, help = "seed of arrivals and prompts", default = "1")]
    seed: u64,
    #[options(no_short, help = "what to ask, JSON text or a file with it")]
    mix: String,
}

/// Runs the command that the arguments name.
#[must_use]
pub fn run() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let Some(command) = args.command else {
        eprintln!("no command given: use engine, service, platform or load");
        return ExitCode::from(2);
    };
    match actix_rt::System::new().block_on(dispatch(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn dispatch(command: Command) -> io::Result<()> {
    match command {
        Command::Engine(args) => run_engine(args).await,
        Command::Service(args) => run_service(args).await,
        Command::Platform(args) => run_platform(args).await,
        Command::Load(args) => run_load(args).await,
    }
}

async fn run_engine(args: EngineArgs) -> io::Result<()> {
    let settings = engine::Settings {
        slots: args.slots,
        token_interval: Duration::from_micros(args.token_interval_us),
        degrade_percent: args.degrade_percent,
        prefill_per_token: Duration::from_micros(args.prefill_us),
        prefixes: args.prefixes,
        load_lag: Duration::from_millis(args.load_lag_ms),
        lengths: engine::Lengths {
            mean: args.mean_tokens,
            min: args.min_tokens,
            seed: args.seed,
        },
    };
    let engine = Rc::new(Engine::new(Instant::now(), settings));
    let listener = server::listen(address(&args.listen)?).await?;
    io::stdout().flush()?;
    actix_rt::spawn(Rc::clone(&engine).sample_load());
    server::serve(listener, engine).await;
    Ok(())
}

async fn run_service(args: ServiceArgs) -> io::Result<()> {
    let settings = service::Settings {
        run: Duration::from_millis(args.run_ms),
        slots: args.slots,
    };
    let listener = server::listen(address(&args.listen)?).await?;
    io::stdout().flush()?;
    server::serve(listener, Rc::new(Service::new(settings))).await;
    Ok(())
}

async fn run_platform(args: PlatformArgs) -> io::Result<()> {
    let text = match &args.list {
        Some(path) => std::fs::read_to_string(path)?,
        None => r#"{"entries":[],"runners":[]}"#.to_owned(),
    };
    let list = serde_json::from_str(&text)?;
    let lag = Duration::from_millis(args.lag_ms);
    let platform = Platform::new(Instant::now(), list, lag);
    let listener = server::listen(address(&args.listen)?).await?;
    io::stdout().flush()?;
    server::serve(listener, Rc::new(platform)).await;
    Ok(())
}

async fn run_load(args: LoadArgs) -> io::Result<()> {
    let mix = if args.mix.trim_start().starts_with('[') {
        args.mix
    } else {
        std::fs::read_to_string(&args.mix)?
    };
    let addresses: io::Result<Vec<SocketAddr>> = args.entries.split(',').map(address).collect();
    let settings = load::Settings {
        addresses: addresses?,
        direct: args.direct,
        keep_alive: args.keep_alive,
        retry: !args.no_returns,
        rate: args.rate,
        workers: args.workers,
        duration: seconds(args.seconds)?,
        warmup: seconds(args.warmup)?,
        seed: args.seed,
        items: serde_json::from_str(&mix)?,
    };
    let report = if args.hold > 0 {
        load::hold(&settings, args.hold).await?
    } else {
        serde_json::to_value(load::drive(settings).await?)?
    };
    println!("{report}");
    Ok(())
}

fn seconds(number: f64) -> io::Result<Duration> {
    Duration::try_from_secs_f64(number).map_err(|error| {
        let text = format!("{number} is not a valid duration ({error}): give seconds");
        io::Error::new(io::ErrorKind::InvalidInput, text)
    })
}

fn address(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(|error| {
        let text = format!("{text} is not an address ({error}): use IP:PORT");
        io::Error::new(io::ErrorKind::InvalidInput, text)
    })
}
