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

/** Runs an entry instance until SIGTERM. */
@OptIn(ExperimentalCli::class)
internal class ServeCommand :
    Subcommand("serve", "Run an entry instance. Example: serve --settings instance.json") {
    private val settings by option(ArgType.String, "settings", "s", "Settings file (JSON)")
        .required()

    override fun execute() {
        val checked = when (val outcome = Settings.read(readFile(settings))) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> fail(settings, outcome.refusal)
        }
        val instance = Instance(checked)
        endOnSignal(instance::shutDownGracefully)
        instance.start()
        instance.whenReady.thenRun { println("{\"event\":\"ready\"}") }
        CountDownLatch(1).await()
    }
}
