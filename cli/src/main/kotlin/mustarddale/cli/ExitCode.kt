package mustarddale.cli

import kotlin.system.exitProcess
import mustarddale.error.Refusal
import sun.misc.Signal

/** How the program ends. */
public enum class ExitCode(public val code: Int) {
    /** All is done. */
    DONE(0),

    /** What was asked for was refused, or a check failed. */
    REFUSED(1),

    /** The instance or a file could not be reached. */
    UNREACHABLE(2),

    /** The command line is wrong; kotlinx-cli ends with this code too. */
    USAGE(127)
}

/** On SIGTERM or SIGINT, runs [stop] to its end and exits as [ExitCode.DONE]. */
internal fun endOnSignal(stop: () -> Unit) {
    val end = {
        stop()
        Runtime.getRuntime().halt(ExitCode.DONE.code)
    }
    Runtime.getRuntime().addShutdownHook(Thread(end, "shutdown"))
}

/** Runs [reload] on SIGHUP, which would end the process otherwise. */
internal fun reloadOnSignal(reload: () -> Unit) {
    Signal.handle(Signal("HUP")) { reload() }
}

/** Prints [message] as an error and ends with [code]. */
internal fun fail(message: String, code: ExitCode = ExitCode.REFUSED): Nothing {
    System.err.println("${Program.NAME}: $message")
    exitProcess(code.code)
}

/** Prints [refusal] of what [source] holds and ends. */
internal fun fail(source: String, refusal: Refusal): Nothing = fail("$source: ${refusal.message}")
