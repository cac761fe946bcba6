package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.cli.internal.readFile
import mustarddale.config.ConfigurationFormat
import mustarddale.error.Outcome
import mustarddale.instance.settings.Settings

/** Checks a document without sending it anywhere. */
@OptIn(ExperimentalCli::class)
internal class CheckCommand :
    Subcommand("check", "Check a file. Example: check configuration totara-line.json") {
    private enum class Kind { CONFIGURATION, SETTINGS }

    private val kind by argument(ArgType.Choice<Kind>(), description = "What the file holds")
    private val file by argument(ArgType.String, description = "The file (JSON)")

    override fun execute() {
        val text = readFile(file)
        val outcome = when (kind) {
            Kind.CONFIGURATION -> ConfigurationFormat.read(text)
            Kind.SETTINGS -> Settings.read(text)
        }
        if (outcome is Outcome.Failure) fail(file, outcome.refusal)
        println("$file: valid")
    }
}
