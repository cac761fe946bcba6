package mustarddale.cli

import java.util.concurrent.CountDownLatch
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import mustarddale.cli.internal.readFile
import mustarddale.standin.EngineSetup
import mustarddale.standin.EngineStandIn
import mustarddale.standin.InstancesStandIn
import mustarddale.standin.LogStandIn
import mustarddale.standin.ServiceStandIn
import mustarddale.standin.StandIn
import mustarddale.standin.WeightsStandIn

/** Runs a stand-in for an external system, for demos and tests. */
@OptIn(ExperimentalCli::class)
internal class StandInCommand :
    Subcommand("stand-in", "Run a stand-in. Example: stand-in engine --port 9001 --setup e.json") {
    private enum class StandInKind { ENGINE, SERVICE, LOG, INSTANCES, WEIGHTS }

    private val kind by argument(
        ArgType.Choice<StandInKind>(),
        description = "System to stand in for"
    )
    private val port by option(ArgType.Int, "port", "p", "Port on 127.0.0.1").required()
    private val setupFile by option(
        ArgType.String,
        "setup",
        description = "Engine setup file (JSON)"
    )
        .default("")

    override fun execute() {
        val standIn: StandIn = when (kind) {
            StandInKind.ENGINE -> EngineStandIn(engineSetup())
            StandInKind.SERVICE -> ServiceStandIn()
            StandInKind.LOG -> LogStandIn()
            StandInKind.INSTANCES -> InstancesStandIn()
            StandInKind.WEIGHTS -> WeightsStandIn()
        }
        standIn.start(port)
        println("{\"event\":\"ready\",\"url\":\"${standIn.url}\"}")
        shutDownOnSignal(standIn::close)
        CountDownLatch(1).await()
    }

    private fun engineSetup(): EngineSetup = try {
        Json.decodeFromString(EngineSetup.serializer(), readFile(setupFile))
    } catch (e: SerializationException) {
        fail("$setupFile: ${e.message}")
    }
}
