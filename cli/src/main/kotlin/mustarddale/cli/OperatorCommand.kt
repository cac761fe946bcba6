package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

/** A command that calls the operator API of a running instance. */
@OptIn(ExperimentalCli::class)
internal abstract class OperatorCommand(name: String, description: String) :
    Subcommand(name, description) {
    private val url by option(
        ArgType.String,
        "operator-url",
        "u",
        "URL of an instance's operator API"
    ).default("http://127.0.0.1:8082")
    private val operator by option(
        ArgType.String,
        "operator",
        "o",
        "Credentials as NAME:PASSWORD; default: the variable MUSTARDDALE_OPERATOR"
    ).default(System.getenv("MUSTARDDALE_OPERATOR").orEmpty())

    /** Client of the instance, created on first use. */
    protected val client: OperatorClient by lazy { OperatorClient(url, operator) }
}
