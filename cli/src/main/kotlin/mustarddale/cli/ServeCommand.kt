package mustarddale.cli

import java.util.concurrent.CountDownLatch
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import mustarddale.cli.internal.readFile
import mustarddale.error.Outcome
import mustarddale.instance.Instance
import mustarddale.instance.settings.Settings

/** Runs an instance until SIGTERM or SIGINT. */
@OptIn(ExperimentalCli::class)
internal class ServeCommand :
    Subcommand("serve", "Run an instance. Example: serve --settings instance.json") {
    private val settingsPath by option(ArgType.String, "settings", "s", "Settings file (JSON)")
        .required()

    override fun execute() {
        val settings = when (val outcome = Settings.read(readFile(settingsPath))) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> fail(settingsPath, outcome.refusal)
        }
        val instance = Instance(settings)
        shutDownOnSignal(instance::shutDownGracefully)
        instance.start()
        instance.whenReady.thenRun { println("{\"event\":\"ready\"}") }
        CountDownLatch(1).await()
    }
}
