package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.config.Availability
import mustarddale.config.ConfigurationChange

/** Marks a backend server as leaving, or brings it back. */
@OptIn(ExperimentalCli::class)
internal class ServerCommand :
    Subcommand("server", "Take a backend server out or back. Example: server out engine-1") {
    init {
        subcommands(
            Change("out", "No new work for it", Availability.OUT),
            Change("back", "Bring it back", Availability.IN)
        )
    }

    override fun execute() = Unit

    private class Change(name: String, description: String, private val state: Availability) :
        OperatorCommand(name, description) {
        private val server by argument(ArgType.String, description = "The backend server")

        override fun execute() {
            println(client.change(ConfigurationChange.SetServer(server, state)))
        }
    }
}
