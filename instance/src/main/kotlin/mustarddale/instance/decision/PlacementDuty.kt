/*
 * Brings wanted artifacts to engines. An order is written into the log, and sent only after the
 * ledger took it on; its offset is its fencing number. It is sent once: an order without an answer
 * stays counted, because it may still land.
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

/** Orders engines to load what callers want, and spreads models over failure domains. */
public class PlacementDuty(
    private val store: ControlStore,
    private val records: RecordWriter,
    private val engines: EngineClient,
    private val clock: Clock,
    private val appendTimeoutMillis: Long,
    private val liveInstances: () -> Set<String>
) : AutoCloseable {
    private val lastUse = ConcurrentHashMap<String, Long>()
    private val wanted = ConcurrentHashMap.newKeySet<Want>()
    private val duty = Duty("placement", handle = ::handle)
    private val spreading = PeriodicDuty("spread", SPREAD_INTERVAL_MILLIS, ::spread)

    /** Asks for [artifact] to be resident on an engine of [service]. */
    public fun want(service: String, artifact: String) {
        lastUse[artifact] = clock.monotonicMillis()
        val want = Want(service, artifact)
        if (wanted.add(want) && !duty.offer(want)) wanted.remove(want)
    }

    /** Notes that [artifact] was used. */
    public fun used(artifact: String) {
        lastUse[artifact] = clock.monotonicMillis()
    }

    override fun close() {
        spreading.close()
        duty.close()
    }

    private fun handle(want: Want) {
        wanted.remove(want)
        placement().nextOrder(want.service, want.artifact)?.let(::propose)
    }

    private fun spread() {
        store.state.index.configuration.services
            .filter { RendezvousHashing.owner(it.name, liveInstances()) == records.writer.instance }
            .forEach { service -> placement().nextReplicaOrder(service.name)?.let(::propose) }
    }

    private fun placement(): PlacementPlanner =
        store.state.let { state -> PlacementPlanner(state.index, state.ledger) { lastUse[it] } }

    private fun propose(order: OrderProposed) {
        val outcome = records.append(order, appendTimeoutMillis).join()
        if (outcome !is WriteOutcome.Written) return
        if (outcome.verdict == RecordStatus.Accepted) send(order, outcome.offset)
    }

    private fun send(order: OrderProposed, offset: Long) {
        val index = store.state.index
        val server = index.server(order.server) ?: return
        val bytes = ArtifactSizes.memoryBytes(index, server.service, order.artifact) ?: return
        val answer = runBlocking {
            engines.order(server, EngineOrder(order.kind, order.artifact, bytes, offset))
        }
        log.info("order {} to {}: {}", order, server.name, answer)
        val takenAfter = when (answer) {
            is OrderAnswer.Accepted -> answer.lastReport
            is OrderAnswer.Refused -> null
            is OrderAnswer.Unknown -> return
        }
        val answered = OrderAnswered(order.server, order.artifact, offset, takenAfter)
        records.append(answered, appendTimeoutMillis)
    }

    private data class Want(val service: String, val artifact: String)

    private companion object {
        const val SPREAD_INTERVAL_MILLIS = 1_000L
        val log = LoggerFactory.getLogger(PlacementDuty::class.java)
    }
}
