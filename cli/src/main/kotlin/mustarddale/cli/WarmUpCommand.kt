package mustarddale.cli

import kotlin.system.exitProcess
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.platform.standin.WarmUp

/** Serves a few requests and exits; the build archives the loaded classes (CDS). */
@OptIn(ExperimentalCli::class)
internal class WarmUpCommand :
    Subcommand("warm-up", "Serve a few requests with stand-ins, then exit. Example: warm-up") {
    override fun execute() {
        val servedCount = WarmUp.run()
        println("{\"event\":\"warmed_up\",\"served\":$servedCount,\"of\":${WarmUp.REQUEST_COUNT}}")
        exitProcess(if (servedCount > 0) ExitCode.DONE.code else ExitCode.REFUSED.code)
    }
}
