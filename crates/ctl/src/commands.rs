//! Runs the commands.

use std::ffi::OsString;
use std::io::Write;
use std::path::Path;

use clap::CommandFactory as _;
use clap::Parser as _;
use serde_json::json;

use crate::apply;
use crate::args::Args;
use crate::args::Command;
use crate::args::MemberCommand;
use crate::args::NodeArgs;
use crate::console::Console;
use crate::evacuation;
use crate::exit::CommandError;
use crate::exit::Exit;
use crate::generate;
use crate::questionnaire;
use crate::session::Session;
use crate::session::unexpected_reply;
use crate::settings::Settings;
use crate::status;
use sassafras_util::Digest;
use sassafras_util::Name;
use sassafras_util::random_u64;
use sassafras_wire::Body;
use sassafras_wire::proto::MemberChange;
use sassafras_wire::proto::NodeCommand;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::member_change::Kind;

/// Runs the program with the given arguments, the first of which is its name.
pub fn run<A>(args: A, out: &mut dyn Write, err: &mut dyn Write) -> Exit
where
    A: IntoIterator,
    A::Item: Into<OsString> + Clone,
{
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(e) => return print_parse_result(&e, out, err),
    };
    let mut console = Console {
        out,
        err,
        json: args.json,
    };
    let result = match run_offline(&mut console, &args.command) {
        Some(result) => result,
        None => run_online(&mut console, &args),
    };
    result.unwrap_or_else(|e| {
        // A closed standard error leaves no way to report the error.
        let _ = console.print_note(format!("error: {e}"));
        e.exit
    })
}

/// Prints a usage error, or the requested help or version.
fn print_parse_result(e: &clap::Error, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let text = e.render();
    // A closed stream leaves no way to report the error.
    if e.use_stderr() {
        let _ = write!(err, "{text}");
        Exit::Usage
    } else {
        let _ = write!(out, "{text}");
        Exit::Done
    }
}

/// Runs a command that needs no cluster. Returns `None` for other commands.
fn run_offline(console: &mut Console<'_>, command: &Command) -> Option<Result<Exit, CommandError>> {
    Some(match command {
        Command::Questionnaire { answers, out } => {
            questionnaire::run(console, answers.as_deref(), out.as_deref())
        }
        Command::Generate { answers, out } => generate::run(console, answers, out),
        Command::Token => print_token(console),
        Command::Completions { shell } => {
            clap_complete::generate(
                *shell,
                &mut Args::command(),
                "sassafrasctl",
                &mut console.out,
            );
            Ok(Exit::Done)
        }
        _ => return None,
    })
}

fn print_token(console: &mut Console<'_>) -> Result<Exit, CommandError> {
    let parts = [(); 4].map(|()| format!("{:016x}", random_u64()));
    let token = parts.concat();
    let digest = Digest::of(token.as_bytes());
    let json = json!({"token": token, "sha256": digest.to_string()});
    console.print_result(format!("token {token}\nsha256 {digest}\n"), &json)?;
    Ok(Exit::Done)
}

fn run_online(console: &mut Console<'_>, args: &Args) -> Result<Exit, CommandError> {
    // Invalid declarations are reported even without settings or a reachable cluster.
    let declarations = match &args.command {
        Command::Plan { dir } => apply::read_declarations(console, dir)?,
        Command::Apply(apply) => apply::read_declarations(console, &apply.dir)?,
        _ => crate::Declarations::default(),
    };
    let settings = read_settings(args.settings.as_deref())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut session = Session::open(settings, args.timeout_ms);
        let session = &mut session;
        match &args.command {
            Command::Plan { .. } => apply::plan(console, session, &declarations).await,
            Command::Apply(args) => apply::run(console, session, &declarations, args).await,
            Command::Audit { after, limit } => {
                status::audit(console, session, *after, *limit).await
            }
            Command::Drain(node) => {
                set_node_state(console, session, node, NodeState::Leaving).await
            }
            Command::Pause(node) => set_node_state(console, session, node, NodeState::Paused).await,
            Command::Resume(node) => {
                set_node_state(console, session, node, NodeState::Active).await
            }
            Command::Evacuate(args) => evacuation::run(console, session, &args.zone, true).await,
            Command::Restore(args) => evacuation::run(console, session, &args.zone, false).await,
            Command::Member { change } => change_members(console, session, change).await,
            _ => status::show(console, session).await,
        }
    })
}

fn read_settings(path: Option<&Path>) -> Result<Settings, CommandError> {
    let path = path.ok_or_else(|| {
        CommandError::new(
            Exit::Usage,
            "this command needs --settings FILE or SASSAFRASCTL_SETTINGS",
        )
    })?;
    Settings::read(path).map_err(|e| CommandError::new(Exit::Usage, e))
}

/// Returns a random request id.
pub(crate) fn new_request_id() -> Name {
    Name::from(format!("{:016x}", random_u64()))
}

async fn set_node_state(
    console: &mut Console<'_>,
    session: &mut Session,
    args: &NodeArgs,
    state: NodeState,
) -> Result<Exit, CommandError> {
    let id = args.request_id.clone().unwrap_or_else(new_request_id);
    let command = NodeCommand {
        node: args.node.to_string(),
        state: state.into(),
        operator: session.settings.name.to_string(),
        request_id: id.to_string(),
        credential: session.settings.token.clone(),
    };
    let reply = match session.request(Body::NodeCommand(command)).await? {
        Body::NodeCommandReply(reply) => reply,
        other => return Err(unexpected_reply(&other)),
    };
    let state = state.as_str_name().to_lowercase();
    print_reply(
        console,
        reply.accepted,
        &reply.detail,
        &format!("{}: {state}", args.node),
    )
}

async fn change_members(
    console: &mut Console<'_>,
    session: &mut Session,
    change: &MemberCommand,
) -> Result<Exit, CommandError> {
    let (kind, name, address) = match change {
        MemberCommand::Add { name, address } => (Kind::AddLearner, name, address.to_string()),
        MemberCommand::Promote { name } => (Kind::Promote, name, String::new()),
        MemberCommand::Remove { name } => (Kind::Remove, name, String::new()),
    };
    let body = MemberChange {
        kind: kind.into(),
        member: name.to_string(),
        address,
        operator: session.settings.name.to_string(),
        credential: session.settings.token.clone(),
    };
    let reply = match session.request(Body::MemberChange(body)).await? {
        Body::MemberChangeReply(reply) => reply,
        other => return Err(unexpected_reply(&other)),
    };
    let outcome = match kind {
        Kind::AddLearner => "added as a learner",
        Kind::Promote => "has a vote",
        _ => "removed",
    };
    print_reply(
        console,
        reply.accepted,
        &reply.detail,
        &format!("{name}: {outcome}"),
    )
}

fn print_reply(
    console: &mut Console<'_>,
    accepted: bool,
    detail: &str,
    text: &str,
) -> Result<Exit, CommandError> {
    if !accepted {
        return Err(CommandError::failed(format!("refused: {detail}")));
    }
    console.print_result(
        format!("{text}\n"),
        &json!({"accepted": true, "detail": detail}),
    )?;
    Ok(Exit::Done)
}
