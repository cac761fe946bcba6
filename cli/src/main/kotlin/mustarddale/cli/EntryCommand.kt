package mustarddale.cli

import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.cli.internal.readFile
import mustarddale.error.Outcome
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.ServingInstance
import mustarddale.platform.PlatformAdapter
import mustarddale.platform.PlatformSettings

/** Runs an instance on the platform that the settings file describes, until SIGTERM or SIGINT. */
@OptIn(ExperimentalCli::class)
internal class EntryCommand :
    Subcommand("entry", "Run an instance on the platform named in its settings. Example: entry") {
    private val settingsPath by option(
        ArgType.String,
        "settings",
        "s",
        "Settings file (JSON); default: the file in ${PlatformSettings.PATH_VARIABLE}"
    )

    override fun execute() {
        val path = settingsPath ?: System.getenv(PlatformSettings.PATH_VARIABLE)
        if (path == null) {
            System.err.println(
                "no settings file: pass --settings or set ${PlatformSettings.PATH_VARIABLE}"
            )
            kotlin.system.exitProcess(ExitCode.USAGE.code)
        }
        val text = readFile(path)
        val settings = when (val outcome = PlatformSettings.parse(text)) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> fail(path, outcome.refusal)
        }
        val instance = ServingInstance(settings) { clients, clock ->
            PlatformAdapter(settings, clients, clock)
        }
        shutDownOnSignal(instance::shutDownGracefully)
        val hangups = Semaphore(0)
        reloadOnSignal(hangups::release)
        instance.start()
        watchSettings(path, text, hangups, instance)
    }

    /** Reloads the file at [path] if its text has changed; checks it on SIGHUP and periodically. */
    private fun watchSettings(
        path: String,
        initialText: String,
        hangups: Semaphore,
        instance: ServingInstance
    ) {
        var loadedText = initialText
        while (true) {
            hangups.tryAcquire(CHECK_INTERVAL_SECONDS, TimeUnit.SECONDS)
            val text = readFile(path)
            if (text == loadedText) continue
            loadedText = text
            when (val outcome = PlatformSettings.parse(text)) {
                is Outcome.Success -> instance.reload(outcome.value)

                is Outcome.Failure ->
                    DecisionLog.record("settings_refused", "reason" to outcome.refusal.message)
            }
        }
    }

    private companion object {
        /** How late a change without SIGHUP is noticed; no setting has to apply sooner. */
        const val CHECK_INTERVAL_SECONDS = 2L
    }
}
