/*
 * Measures the start of an instance in a process of its own, which `bin/start-cost` starts: the
 * processor time until it listens, is ready, and has served its first and its 40th request.
 */
package mustarddale.bench

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import mustarddale.platform.standin.InstancePorts
import mustarddale.platform.standin.LoopbackDeployment

/**
 * Writes the settings of an instance to [directory], reads its process id from there, and prints
 * what its start cost.
 */
public class StartReport(private val directory: Path) {
    /** Runs the measurement. */
    public fun run(): Unit = LoopbackDeployment().use { deployment ->
        val ports = deployment.newInstance("n0")
        writeSettings(ports)
        val process = ProcessCost(awaitProcessId())
        await("listening") { isListening(ports.caller) }
        val listening = process.processorMillis()
        val ready = WebClient.of("h1c://127.0.0.1:${ports.ready}")
        await("readiness") { ready.get("/ready").aggregate().join().status() == HttpStatus.OK }
        val readyAt = process.processorMillis()
        val client = WebClient.of("h1c://127.0.0.1:${ports.caller}")
        await("the first answer") { isServed(client, "first") }
        val first = process.processorMillis()
        val served = (2..REQUEST_COUNT).count { isServed(client, "r$it") } + 1
        val all = process.processorMillis()
        Thread.sleep(IDLE_MILLIS)
        val idle = process.processorMillis() - all
        println(
            """{"listeningMillis":$listening,"readyMillis":$readyAt,"firstAnswerMillis":$first,""" +
                """"answers":$served,"answersMillis":$all,"idleMillisPerSecond":""" +
                """${idle * MILLIS_PER_SECOND / IDLE_MILLIS},"peakKilobytes":""" +
                """${process.peakKilobytes()},"threads":${process.threads()}}"""
        )
    }

    private fun writeSettings(ports: InstancePorts) {
        val partial = directory.resolve("settings.partial")
        Files.writeString(partial, ports.settingsJson)
        Files.move(partial, directory.resolve("settings.json"))
    }

    private fun awaitProcessId(): Long {
        val file = directory.resolve("pid")
        await("a process id") { Files.exists(file) && Files.readString(file).endsWith("\n") }
        return Files.readString(file).trim().toLong()
    }

    private fun isListening(port: Int): Boolean = try {
        Socket(InetAddress.getLoopbackAddress(), port).close()
        true
    } catch (_: IOException) {
        false
    }

    private fun isServed(client: WebClient, requestId: String): Boolean {
        val response = client.execute(LoopbackDeployment.request(requestId)).aggregate().join()
        return response.status() == HttpStatus.OK
    }

    private fun await(event: String, hasHappened: () -> Boolean) {
        val endNanos = System.nanoTime() + MAX_WAIT_NANOS
        while (!hasHappened()) {
            check(System.nanoTime() < endNanos) { "timed out waiting for $event" }
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
    }

    private companion object {
        const val REQUEST_COUNT = 40
        const val IDLE_MILLIS = 10_000L
        const val MILLIS_PER_SECOND = 1_000
        const val POLL_INTERVAL_MILLIS = 5L
        const val MAX_WAIT_NANOS = 60_000_000_000
    }
}
