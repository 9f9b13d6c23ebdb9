//! Connection settings of an operator.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use sassafras_config::IniDoc;
use sassafras_runtime::take_cluster_key;
use sassafras_runtime::take_control_members;
use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_wire::ClusterKey;

/// The operator's identity and the addresses of the control group.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The operator's name.
    pub name: Name,
    /// The operator's token. Must not be printed.
    pub(crate) token: String,
    /// The control members, by name.
    pub control: Vec<(Name, SocketAddr)>,
    /// Key shared by the cluster's processes.
    pub key: ClusterKey,
}

impl Settings {
    /// Parses the sections `[operator]` and `[cluster]`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting, with its file, line, key and accepted values.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let name = doc.take(
            "operator",
            "name",
            "1 to 128 characters of A-Z a-z 0-9 . _ -",
            Name::checked,
        )?;
        let path = doc.take("operator", "token_file", "path of a file", |t| {
            Some(PathBuf::from(t))
        })?;
        let token = read_token(&path).map_err(|reason| {
            let reason = format!("{}: {reason}", path.display());
            doc.key_error("operator", "token_file", &reason)
        })?;
        let control = take_control_members(doc)?;
        let key = take_cluster_key(doc)?;
        doc.finish()?;
        Ok(Self {
            name,
            token,
            control,
            key,
        })
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, and the errors of [`Settings::load`].
    pub fn read(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Error::from(e).context(&file))?;
        Self::load(&mut IniDoc::parse(&file, &text)?)
    }
}

fn read_token(path: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let token = text.trim();
    if token.is_empty() || token.contains(char::is_whitespace) {
        return Err("the file has to hold one token, as `sassafrasctl token` prints it".into());
    }
    Ok(token.to_owned())
}
