/*
 * Orders engines to load and unload artifacts, which are models and adapters. An order is written
 * into the log and sent only if the memory ledger has accepted it; its log offset is its fencing
 * token. An order is sent only once, and counts as memory use also without an answer, as the engine
 * may still execute it.
 */
package mustarddale.instance.decision

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.runBlocking
import mustarddale.control.ControlRecord.OrderAnswered
import mustarddale.control.ControlRecord.OrderProposed
import mustarddale.control.RecordStatus
import mustarddale.instance.duty.Duty
import mustarddale.instance.duty.PeriodicDuty
import mustarddale.instance.engine.EngineClient
import mustarddale.instance.engine.EngineOrder
import mustarddale.instance.engine.OrderAnswer
import mustarddale.instance.log.ControlStore
import mustarddale.instance.log.RecordWriter
import mustarddale.instance.log.WriteOutcome
import mustarddale.memory.ArtifactSizes
import mustarddale.placement.PlacementPlanner
import mustarddale.routing.RendezvousHashing
import mustarddale.time.Clock
import org.slf4j.LoggerFactory

/**
 * Orders engines to load requested artifacts, and spreads models over failure domains.
 *
 * @param liveInstances returns the ids of the live instances.
 */
public class PlacementDuty(
    private val store: ControlStore,
    private val recordWriter: RecordWriter,
    private val engines: EngineClient,
    private val clock: Clock,
    private val appendTimeoutMillis: Long,
    private val liveInstances: () -> Set<String>
) : AutoCloseable {
    private val lastUseMillis = ConcurrentHashMap<String, Long>()
    private val pendingRequests = ConcurrentHashMap.newKeySet<ResidencyRequest>()
    private val worker = Duty("placement", handle = ::handle)
    private val spreadWorker = PeriodicDuty("spread", SPREAD_INTERVAL_MILLIS, ::spread)

    /** Requests that [artifact] be loaded on an engine of [service]; does not wait for it. */
    public fun requestResidency(service: String, artifact: String) {
        lastUseMillis[artifact] = clock.monotonicMillis()
        val request = ResidencyRequest(service, artifact)
        if (pendingRequests.add(request) && !worker.offer(request)) pendingRequests.remove(request)
    }

    /** Records a use of [artifact]; the least recently used artifacts are unloaded first. */
    public fun recordUse(artifact: String) {
        lastUseMillis[artifact] = clock.monotonicMillis()
    }

    override fun close() {
        spreadWorker.close()
        worker.close()
    }

    private fun handle(request: ResidencyRequest) {
        pendingRequests.remove(request)
        planner().nextOrder(request.service, request.artifact)?.let(::propose)
    }

    private fun spread() {
        store.state.index.configuration.services
            .filter {
                RendezvousHashing.owner(it.name, liveInstances()) == recordWriter.writer.instance
            }
            .forEach { service -> planner().nextReplicaOrder(service.name)?.let(::propose) }
    }

    private fun planner(): PlacementPlanner = store.state.let { state ->
        PlacementPlanner(state.index, state.ledger) { lastUseMillis[it] }
    }

    private fun propose(order: OrderProposed) {
        val outcome = recordWriter.append(order, appendTimeoutMillis).join()
        if (outcome !is WriteOutcome.Written) return
        if (outcome.status == RecordStatus.Accepted) send(order, outcome.offset)
    }

    private fun send(order: OrderProposed, offset: Long) {
        val index = store.state.index
        val server = index.server(order.server) ?: return
        val memoryBytes = ArtifactSizes.memoryBytes(index, server.service, order.artifact) ?: return
        val answer = runBlocking {
            engines.sendOrder(server, EngineOrder(order.kind, order.artifact, memoryBytes, offset))
        }
        log.info("sent {} to engine {}, answer: {}", order, server.name, answer)
        val takenAfter = when (answer) {
            is OrderAnswer.Accepted -> answer.lastReport
            is OrderAnswer.Refused -> null
            is OrderAnswer.Unknown -> return
        }
        val answerRecord = OrderAnswered(order.server, order.artifact, offset, takenAfter)
        recordWriter.append(answerRecord, appendTimeoutMillis)
    }

    private data class ResidencyRequest(val service: String, val artifact: String)

    private companion object {
        const val SPREAD_INTERVAL_MILLIS = 1_000L
        val log = LoggerFactory.getLogger(PlacementDuty::class.java)
    }
}
