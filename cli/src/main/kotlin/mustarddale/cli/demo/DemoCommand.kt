package mustarddale.cli.demo

import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import mustarddale.cli.ExitCode
import mustarddale.cli.shutDownOnSignal

/** Runs two instances with stand-ins for all external systems, in this process. */
@OptIn(ExperimentalCli::class)
internal class DemoCommand :
    Subcommand("demo", "Run two instances and all stand-ins. Example: demo --port 8080") {
    private val port by option(ArgType.Int, "port", "p", "First of four ports on 127.0.0.1")
        .default(DEFAULT_PORT)
    private val isCheck by option(ArgType.Boolean, "check", description = "Run checks, then exit")
        .default(false)

    override fun execute() {
        val demo = DemoDeployment(port)
        demo.start()
        if (isCheck) {
            val key = SampleConfiguration.apiKeys.values.first()
            val results = demo.callerUrls.map { DemoCheck(it, key).run() }
            demo.close()
            exitProcess(if (results.all { it }) ExitCode.DONE.code else ExitCode.REFUSED.code)
        }
        val ready = Ready("ready", demo.callerUrls, demo.operatorUrl, SampleConfiguration.apiKeys)
        println(Json.encodeToString(Ready.serializer(), ready))
        shutDownOnSignal(demo::close)
        CountDownLatch(1).await()
    }

    @Serializable
    private data class Ready(
        val event: String,
        val callerUrls: List<String>,
        val operatorUrl: String,
        val keys: Map<String, String>
    )

    private companion object {
        const val DEFAULT_PORT = 8080
    }
}
