package mustarddale.cli

import kotlin.system.exitProcess
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.platform.standin.WarmUp

/** Serves a few requests to itself and ends; the build records the classes that this loads. */
@OptIn(ExperimentalCli::class)
internal class WarmUpCommand :
    Subcommand("warm-up", "Serve a few requests before stand-ins, and end. Example: warm-up") {
    override fun execute() {
        val served = WarmUp.run()
        println("{\"event\":\"warmed_up\",\"served\":$served,\"of\":${WarmUp.REQUEST_COUNT}}")
        exitProcess(if (served > 0) ExitCode.DONE.code else ExitCode.REFUSED.code)
    }
}
