package mustarddale.bench

import kotlin.system.exitProcess
import mustarddale.bench.policy.PolicyReport

/** Runs the report that [arguments] name and prints it as JSON lines. */
public fun main(arguments: Array<String>) {
    System.setProperty("com.linecorp.armeria.transportType", "epoll")
    when (arguments.firstOrNull()) {
        "control" -> ControlReport().run()

        "path" -> PathReport().run()

        "takeover" -> TakeoverReport().run()

        "policy" -> PolicyReport().run()

        else -> {
            System.err.println("usage: bench control|path|takeover|policy")
            exitProcess(2)
        }
    }
    exitProcess(0)
}
