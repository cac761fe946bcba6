package mustarddale.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import mustarddale.config.ConfigurationFormat
import mustarddale.instance.operator.InstanceStatus

/** Shows what an instance sees. */
@OptIn(ExperimentalCli::class)
internal class StatusCommand :
    OperatorCommand("status", "Show what an instance sees. Example: status --json") {
    private val isJson by option(ArgType.Boolean, "json", description = "Print JSON")
        .default(false)

    override fun execute() {
        val text = client.read("/status")
        if (isJson) {
            println(text)
        } else {
            print(ConfigurationFormat.json.decodeFromString(InstanceStatus.serializer(), text))
        }
    }

    private fun print(status: InstanceStatus) {
        println("instance ${status.instance} ${if (status.isReady) "ready" else "not ready"}")
        println("revision ${status.revision}, log offset ${status.nextOffset}")
        println("rate slots ${status.rateSlots}, peers ${status.peers.joinToString(" ")}")
        println(ROW.format("server", "state", "flight", "running", "waiting", "memory GB"))
        status.servers.forEach {
            val memory = "${it.committedBytes / GIGABYTE}/${it.memoryBytes / GIGABYTE}"
            println(ROW.format(it.server, it.warmth, it.inFlight, it.running, it.waiting, memory))
        }
    }

    private companion object {
        const val ROW = "%-20s %-8s %7s %7s %7s %12s"
        const val GIGABYTE = 1_000_000_000L
    }
}
