package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.cli.internal.readFile
import mustarddale.config.ConfigurationFormat
import mustarddale.error.Outcome
import mustarddale.instance.settings.Settings

/** Validates a configuration or settings file without contacting an instance. */
@OptIn(ExperimentalCli::class)
internal class CheckCommand :
    Subcommand("check", "Validate a file. Example: check configuration new.json") {
    private enum class FileKind { CONFIGURATION, SETTINGS }

    private val kind by argument(ArgType.Choice<FileKind>(), description = "Type of the file")
    private val file by argument(ArgType.String, description = "The file (JSON)")

    override fun execute() {
        val text = readFile(file)
        val outcome = when (kind) {
            FileKind.CONFIGURATION -> ConfigurationFormat.read(text)
            FileKind.SETTINGS -> Settings.read(text)
        }
        if (outcome is Outcome.Failure) fail(file, outcome.refusal)
        println("$file: valid")
    }
}
