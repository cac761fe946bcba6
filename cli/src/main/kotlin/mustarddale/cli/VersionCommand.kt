package mustarddale.cli

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** Prints the program's version. */
@OptIn(ExperimentalCli::class)
internal class VersionCommand : Subcommand("version", "Print the version") {
    override fun execute() {
        println("${Program.NAME} ${Program.VERSION}")
    }
}
