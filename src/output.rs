//! What commands print: JSON for programs, text for a terminal.

use serde::de::DeserializeOwned;
use serde_json::Value;

/// Prints an answer as it came, or as the text that `render` makes of it.
///
/// # Errors
/// Returns an error where the answer has another form than this release knows.
pub fn show<T: DeserializeOwned>(
    value: Value,
    is_json: bool,
    render: impl FnOnce(&T) -> String,
) -> anyhow::Result<()> {
    if is_json {
        println!("{value:#}");
        return Ok(());
    }
    let answer: T = serde_json::from_value(value)?;
    println!("{}", render(&answer).trim_end());
    Ok(())
}
