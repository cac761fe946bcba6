package mustarddale.cli

import java.time.Instant
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.builtins.ListSerializer
import mustarddale.cli.internal.readFile
import mustarddale.config.ConfigurationChange
import mustarddale.config.ConfigurationFormat
import mustarddale.control.AuditEntry
import mustarddale.error.Outcome
import mustarddale.instance.operator.CheckAnswer
import mustarddale.instance.operator.ConfigurationAnswer

/** Prints, compares and replaces the configuration, and prints its audit trail. */
@OptIn(ExperimentalCli::class)
internal class ConfigCommand :
    Subcommand("config", "Show, compare, replace or audit the configuration. Example: config get") {
    init {
        subcommands(Get(), Diff(), Submit(), History())
    }

    override fun execute() = Unit

    private class Get : OperatorCommand("get", "Print the revision and the configuration") {
        override fun execute() {
            val answer = ConfigurationFormat.json.decodeFromString(
                ConfigurationAnswer.serializer(),
                client.read("/configuration")
            )
            System.err.println("revision ${answer.revision}")
            println(ConfigurationFormat.write(answer.configuration))
        }
    }

    private class Diff :
        OperatorCommand(
            "diff",
            "Show what a new configuration would change. Example: config diff new.json"
        ) {
        private val file by argument(ArgType.String, description = "Configuration file (JSON)")

        override fun execute() {
            val answer = ConfigurationFormat.json.decodeFromString(
                CheckAnswer.serializer(),
                client.check(readFile(file))
            )
            answer.difference.forEach(::println)
            val faults = answer.faults.map { "${it.field}: ${it.message}" }
            if (faults.isNotEmpty()) fail("$file: ${faults.joinToString("; ")}")
        }
    }

    private class Submit :
        OperatorCommand(
            "submit",
            "Replace the configuration. Example: config submit new.json 7"
        ) {
        private val file by argument(ArgType.String, description = "Configuration file (JSON)")
        private val base by argument(ArgType.Int, description = "Revision that it replaces")

        override fun execute() {
            val configuration = when (val outcome = ConfigurationFormat.read(readFile(file))) {
                is Outcome.Success -> outcome.value
                is Outcome.Failure -> fail(file, outcome.refusal)
            }
            println(client.change(ConfigurationChange.Replace(configuration), base.toLong()))
        }
    }

    private class History : OperatorCommand("history", "Print the audit trail") {
        override fun execute() {
            val entries = ConfigurationFormat.json.decodeFromString(
                ListSerializer(AuditEntry.serializer()),
                client.read("/audit")
            )
            entries.forEach { println(format(it)) }
        }

        private fun format(entry: AuditEntry): String {
            val time = Instant.ofEpochMilli(entry.atMillis)
            val result =
                entry.revision?.let { "revision $it" } ?: "refused: ${entry.refusedBecause}"
            return "$time ${entry.operator}: ${entry.change} -> $result"
        }
    }
}
