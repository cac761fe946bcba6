package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.config.Availability
import mustarddale.config.ConfigurationChange

/** Takes a failure domain out, or brings it back. */
@OptIn(ExperimentalCli::class)
internal class DomainCommand :
    Subcommand("domain", "Take a failure domain out or back. Example: domain out nz-north-a") {
    init {
        subcommands(
            Change("out", "Take it out", Availability.OUT),
            Change("back", "Bring it back", Availability.IN)
        )
    }

    override fun execute() = Unit

    private class Change(name: String, description: String, private val state: Availability) :
        OperatorCommand(name, description) {
        private val domain by argument(ArgType.String, description = "The failure domain")

        override fun execute() {
            println(client.change(ConfigurationChange.SetDomain(domain, state)))
        }
    }
}
