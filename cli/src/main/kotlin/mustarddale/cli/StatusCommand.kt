package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import mustarddale.config.ConfigurationFormat
import mustarddale.instance.operator.InstanceStatus

/** Prints an instance's view of the deployment. */
@OptIn(ExperimentalCli::class)
internal class StatusCommand :
    OperatorCommand("status", "Show an instance's view of the deployment. Example: status --json") {
    private val isJson by option(ArgType.Boolean, "json", description = "Print JSON")
        .default(false)

    override fun execute() {
        val text = client.read("/status")
        if (isJson) {
            println(text)
        } else {
            printTable(ConfigurationFormat.json.decodeFromString(InstanceStatus.serializer(), text))
        }
    }

    private fun printTable(status: InstanceStatus) {
        println("instance ${status.instance} ${if (status.isReady) "ready" else "not ready"}")
        println("revision ${status.revision}, log offset ${status.nextOffset}")
        println("rate slots ${status.rateSlots}, peers ${status.peers.joinToString(" ")}")
        println(ROW_FORMAT.format("server", "state", "flight", "running", "waiting", "memory GB"))
        status.servers.forEach {
            val memory = "${it.committedBytes / GIGABYTE}/${it.memoryBytes / GIGABYTE}"
            println(
                ROW_FORMAT.format(it.server, it.warmth, it.inFlight, it.running, it.waiting, memory)
            )
        }
    }

    private companion object {
        const val ROW_FORMAT = "%-20s %-8s %7s %7s %7s %12s"
        const val GIGABYTE = 1_000_000_000L
    }
}
