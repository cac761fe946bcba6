package mustarddale.cli

import java.io.BufferedReader
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import mustarddale.config.BackendServer
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationFormat
import mustarddale.instance.settings.Settings
import mustarddale.standin.EngineSetup

/** A process of this program, which counts as ready once it has printed a line. */
class ProgramProcess(name: String, directory: Path, vararg arguments: String) {
    private val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
    private val process: Process = ProcessBuilder(
        listOf(java, "-Xmx256m", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path")) +
            "mustarddale.cli.MainKt" + arguments
    ).redirectError(directory.resolve("$name.err").toFile()).start()
    private val output: BufferedReader = process.inputReader()
    private val firstLine = CompletableFuture.supplyAsync { output.readLine() }

    fun awaitReady() {
        checkNotNull(firstLine.get(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            "exited before it was ready"
        }
    }

    fun kill() {
        process.destroyForcibly().waitFor()
    }

    fun suspendProcess() = signal("STOP")

    fun resumeProcess() = signal("CONT")

    /** Sends SIGTERM and returns the exit code. */
    fun terminate(): Int {
        process.destroy()
        check(process.waitFor(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            "did not exit on SIGTERM"
        }
        return process.exitValue()
    }

    val isAlive: Boolean get() = process.isAlive

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor()
    }

    private companion object {
        const val READY_TIMEOUT_SECONDS = 60L
    }
}

/** Separate processes for log, instance list, two engines, a service and three instances. */
class MultiProcessStack(private val directory: Path) : AutoCloseable {
    private val logPort = TestStack.freePort()
    private val instanceListPort = TestStack.freePort()
    private val enginePorts = List(2) { TestStack.freePort() }
    val servicePort = TestStack.freePort()
    val callerPorts = List(3) { TestStack.freePort() }
    private val operatorPorts = List(3) { TestStack.freePort() }
    private val standIns = mutableListOf<ProgramProcess>()
    val instances = mutableListOf<ProgramProcess>()

    fun start(configuration: Configuration): MultiProcessStack {
        val setup =
            EngineSetup(TestStack.MEMORY_BYTES, preloaded = mapOf("m1" to 40L), tokenMillis = 10)
        val setupFile = write("engine.json", Json.encodeToString(setup))
        standIns += standIn("log", logPort)
        standIns += standIn("instances", instanceListPort)
        standIns += standIn("service", servicePort)
        standIns += enginePorts.map { standIn("engine", it, "--setup", setupFile) }
        standIns.forEach { it.awaitReady() }
        instances += callerPorts.indices.map { number ->
            val file = write("i$number.json", settingsJson(number))
            ProgramProcess("i$number", directory, "serve", "--settings", file)
        }
        submit(configuration)
        instances.forEach { it.awaitReady() }
        return this
    }

    override fun close() {
        (instances + standIns).forEach { it.kill() }
    }

    private fun standIn(kind: String, port: Int, vararg options: String): ProgramProcess =
        ProgramProcess("$kind-$port", directory, "stand-in", kind, "--port", "$port", *options)

    private fun submit(configuration: Configuration) {
        val engines = enginePorts.mapIndexed { index, port ->
            val domain = if (index == 0) "north" else "south"
            val url = "http://127.0.0.1:$port"
            BackendServer("e$index", "writer", url, domain, TestStack.MEMORY_BYTES, index == 0)
        }
        val office = BackendServer("o1", "office", "http://127.0.0.1:$servicePort", "north")
        val completeConfiguration = configuration.copy(backendServers = engines + office)
        val file = write("configuration.json", ConfigurationFormat.write(completeConfiguration))
        val submit = {
            val url = "http://127.0.0.1:${operatorPorts[0]}"
            val arguments = listOf("config", "submit", file, "0", "-u", url, "-o", "op:pw")
            ProgramProcess("submit", directory, *arguments.toTypedArray())
        }
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60)
        while (submit().runCatching { awaitReady() }.isFailure) {
            check(System.nanoTime() < deadlineNanos) { "configuration not accepted in 60 s" }
        }
    }

    private fun settingsJson(number: Int): String = Json.encodeToString(
        Settings(
            instanceId = "i$number",
            failureDomain = "north",
            callerPort = callerPorts[number],
            operatorPort = operatorPorts[number],
            peerPort = 0,
            logUrl = "http://127.0.0.1:$logPort",
            instanceListUrl = "http://127.0.0.1:$instanceListPort",
            operators = TestStack.OPERATOR_CREDENTIALS,
            lameDuckMillis = 200
        )
    )

    private fun write(name: String, text: String): String {
        val file = directory.resolve(name)
        Files.writeString(file, text)
        return file.toString()
    }
}
