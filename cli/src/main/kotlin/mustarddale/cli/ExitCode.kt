package mustarddale.cli

import kotlin.system.exitProcess
import mustarddale.error.Refusal
import sun.misc.Signal

/** Exit codes of the program. */
public enum class ExitCode(public val code: Int) {
    /** The command succeeded. */
    DONE(0),

    /** The request was refused, or a check failed. */
    REFUSED(1),

    /** The instance cannot be reached, or a file cannot be read. */
    UNREACHABLE(2),

    /** The command line is invalid; kotlinx-cli exits with this code too. */
    USAGE(127)
}

/** On SIGTERM or SIGINT, runs [stop] to completion and exits with [ExitCode.DONE]. */
internal fun shutDownOnSignal(stop: () -> Unit) {
    val shutDown = {
        stop()
        Runtime.getRuntime().halt(ExitCode.DONE.code)
    }
    Runtime.getRuntime().addShutdownHook(Thread(shutDown, "shutdown"))
}

/** Runs [reload] on SIGHUP, which ends the process by default. */
internal fun reloadOnSignal(reload: () -> Unit) {
    Signal.handle(Signal("HUP")) { reload() }
}

/** Prints [message] to standard error and exits with [code]. */
internal fun fail(message: String, code: ExitCode = ExitCode.REFUSED): Nothing {
    System.err.println("${Program.NAME}: $message")
    exitProcess(code.code)
}

/** Prints why the content of [source] was refused and exits with [ExitCode.REFUSED]. */
internal fun fail(source: String, refusal: Refusal): Nothing = fail("$source: ${refusal.message}")
