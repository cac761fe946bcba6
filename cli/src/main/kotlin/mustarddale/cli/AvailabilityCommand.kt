package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.config.Availability
import mustarddale.config.ConfigurationChange

/** Takes a failure domain or a backend server out of service, or back into it. */
@OptIn(ExperimentalCli::class)
internal class AvailabilityCommand private constructor(
    name: String,
    description: String,
    partKind: String,
    changeFor: (String, Availability) -> ConfigurationChange
) : Subcommand(name, description) {
    init {
        subcommands(
            SetState("out", "Send it no new work", partKind) { changeFor(it, Availability.OUT) },
            SetState("back", "Send it new work again", partKind) { changeFor(it, Availability.IN) }
        )
    }

    override fun execute() = Unit

    private class SetState(
        name: String,
        description: String,
        partKind: String,
        private val changeFor: (String) -> ConfigurationChange
    ) : OperatorCommand(name, description) {
        private val part by argument(ArgType.String, partKind, "Name of the $partKind")

        override fun execute() {
            println(client.change(changeFor(part)))
        }
    }

    companion object {
        /** Returns the command for failure domains. */
        fun forDomains(): AvailabilityCommand = AvailabilityCommand(
            "domain",
            "Take a failure domain out of service, or back. Example: domain out nz-north-a",
            "domain",
            ConfigurationChange::SetDomain
        )

        /** Returns the command for backend servers. */
        fun forServers(): AvailabilityCommand = AvailabilityCommand(
            "server",
            "Take a backend server out of service, or back. Example: server out engine-1",
            "server",
            ConfigurationChange::SetServer
        )
    }
}
