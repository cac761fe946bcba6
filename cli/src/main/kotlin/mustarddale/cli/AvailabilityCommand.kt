package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.config.Availability
import mustarddale.config.ConfigurationChange

/** Takes a part of the deployment out, or brings it back, by the change that [changeOf] gives. */
@OptIn(ExperimentalCli::class)
internal class AvailabilityCommand private constructor(
    name: String,
    description: String,
    what: String,
    changeOf: (String, Availability) -> ConfigurationChange
) : Subcommand(name, description) {
    init {
        subcommands(
            Change("out", "No new work for it", what) { changeOf(it, Availability.OUT) },
            Change("back", "Bring it back", what) { changeOf(it, Availability.IN) }
        )
    }

    override fun execute() = Unit

    private class Change(
        name: String,
        description: String,
        what: String,
        private val changeOf: (String) -> ConfigurationChange
    ) : OperatorCommand(name, description) {
        private val part by argument(ArgType.String, what, "The name of the $what")

        override fun execute() {
            println(client.change(changeOf(part)))
        }
    }

    companion object {
        /** The command for failure domains. */
        fun forDomains(): AvailabilityCommand = AvailabilityCommand(
            "domain",
            "Take a failure domain out or back. Example: domain out nz-north-a",
            "domain",
            ConfigurationChange::SetDomain
        )

        /** The command for backend servers. */
        fun forServers(): AvailabilityCommand = AvailabilityCommand(
            "server",
            "Take a backend server out or back. Example: server out engine-1",
            "server",
            ConfigurationChange::SetServer
        )
    }
}
