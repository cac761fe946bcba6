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

/** Runs a serving instance on the users' platform until SIGTERM. */
@OptIn(ExperimentalCli::class)
internal class EntryCommand :
    Subcommand("entry", "Run an instance on the users' platform. Example: entry") {
    private val settings by option(
        ArgType.String,
        "settings",
        "s",
        "Settings file (JSON); if left out, ${PlatformSettings.PATH_VARIABLE} names it"
    )

    override fun execute() {
        val path = settings ?: System.getenv(PlatformSettings.PATH_VARIABLE)
        if (path == null) {
            System.err.println(
                "neither --settings nor ${PlatformSettings.PATH_VARIABLE} names a settings file"
            )
            kotlin.system.exitProcess(ExitCode.USAGE.code)
        }
        val text = readFile(path)
        val checked = when (val outcome = PlatformSettings.parse(text)) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> fail(path, outcome.refusal)
        }
        val instance = ServingInstance(checked) { clients, clock ->
            PlatformAdapter(checked, clients, clock)
        }
        endOnSignal(instance::shutDownGracefully)
        val hangups = Semaphore(0)
        reloadOnSignal(hangups::release)
        instance.start()
        watch(path, text, hangups, instance)
    }

    /** Takes over changed settings, on SIGHUP or found changed. */
    private fun watch(path: String, first: String, hangups: Semaphore, instance: ServingInstance) {
        var known = first
        while (true) {
            hangups.tryAcquire(CHECK_SECONDS, TimeUnit.SECONDS)
            val text = readFile(path)
            if (text == known) continue
            known = text
            when (val outcome = PlatformSettings.parse(text)) {
                is Outcome.Success -> instance.reload(outcome.value)

                is Outcome.Failure ->
                    DecisionLog.record("settings_refused", "reason" to outcome.refusal.message)
            }
        }
    }

    private companion object {
        /** Settings may change without a signal; nothing in them is urgent. */
        const val CHECK_SECONDS = 2L
    }
}
