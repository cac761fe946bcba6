package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

/** A command that speaks to a running instance. */
@OptIn(ExperimentalCli::class)
internal abstract class OperatorCommand(name: String, description: String) :
    Subcommand(name, description) {
    private val url by option(
        ArgType.String,
        "operator-url",
        "u",
        "Operator address of an instance"
    ).default("http://127.0.0.1:8082")
    private val operator by option(
        ArgType.String,
        "operator",
        "o",
        "Name and password as NAME:PASSWORD; else from the variable MUSTARDDALE_OPERATOR"
    ).default(System.getenv("MUSTARDDALE_OPERATOR").orEmpty())

    /** The connection to the instance. */
    protected val client: OperatorClient by lazy { OperatorClient(url, operator) }
}
