/*
 * What the control work of one node costs, at four sizes: time, bytes and memory. The slopes feed
 * docs/CAPACITY.md.
 */
package mustarddale.bench

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import mustarddale.config.Availability
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationChange
import mustarddale.config.ConfigurationFormat
import mustarddale.control.ControlRecord
import mustarddale.control.ControlRecord.ChangeProposed
import mustarddale.control.ControlRecord.IntentOpened
import mustarddale.control.ControlRecord.SlotsRenewed
import mustarddale.control.ControlSnapshot
import mustarddale.control.ControlState
import mustarddale.control.Envelope
import mustarddale.control.LogRecord
import mustarddale.control.WriterId
import mustarddale.dispatch.DispatchRequest
import mustarddale.dispatch.DispatchState
import mustarddale.instance.peer.PeerMessage
import mustarddale.memory.HeldArtifact
import mustarddale.memory.ReportNumber
import mustarddale.rate.SlotLease
import mustarddale.routing.LoadReport
import mustarddale.routing.Warmth

/** Prints the costs of control as JSON lines. */
@OptIn(ExperimentalSerializationApi::class)
public class ControlReport {
    /** Measures all sizes. */
    public fun run() {
        Deployment.SIZES.forEach { size ->
            val state = stateOf(size)
            val dispatch = dispatchOf(state, size)
            line(size, "fold a change of a domain", foldCost(state, domainChange()))
            line(size, "fold a renewal of slots", foldCost(state, SlotsRenewed))
            line(size, "fold an intent", foldCost(state, INTENT))
            line(size, "admit a request", admitCost(dispatch))
            line(
                size,
                "tick of the slots",
                Timing.cost {
                    dispatch.applyLease(LEASE, emptySet(), NOW)
                }
            )
            line(size, "take in a load report", reportCost(dispatch))
            line(size, "write a snapshot", Timing.cost { ControlSnapshot.of(state).toChunks() })
            bytes(size, state)
        }
    }

    private fun stateOf(size: Deployment): ControlState {
        val change = ConfigurationChange.Replace(size.configuration())
        val first = record(0, ControlState.EMPTY, ChangeProposed("op", 0, change))
        return ControlState.EMPTY.fold(first).state
    }

    private fun dispatchOf(state: ControlState, size: Deployment): DispatchState {
        val start = DispatchState().applyControlState(state, NOW).applyLease(LEASE, setOf(0), NOW)
        return state.index.configuration.backendServers.fold(start) { dispatch, server ->
            val models = state.index.models.values
                .filter { it.service == server.service }
                .map { it.publicName }
            dispatch.withServers { it.applyReport(report(server.name, models, 1), NOW) }
        }.also { check(it.servers.names.size == size.engines) }
    }

    private fun report(server: String, models: List<String>, sequence: Long): LoadReport =
        LoadReport(
            server = server,
            number = ReportNumber(1, sequence),
            warmth = Warmth.WARM,
            running = 3,
            waiting = 0,
            batchSlots = 32,
            ready = models,
            held = models.map { HeldArtifact(it, 1) },
            appliedFence = 0
        )

    private fun foldCost(state: ControlState, record: ControlRecord): Cost {
        val next = record(state.nextOffset, state, record)
        return Timing.cost { state.fold(next) }
    }

    private fun admitCost(dispatch: DispatchState): Cost {
        val work =
            DispatchRequest("service-0", "account-0", model = "model-0-0", reservedTokens = 1.0)
        var draw = 0
        return Timing.cost { dispatch.admit(work, NOW, draw++) }
    }

    private fun reportCost(dispatch: DispatchState): Cost {
        var sequence = 1L
        return Timing.cost {
            val next = report("engine-0", MODELS, ++sequence)
            dispatch.withServers { it.applyReport(next, NOW) }
        }
    }

    private fun bytes(size: Deployment, state: ControlState) {
        val document = ConfigurationFormat.json.encodeToString(
            Configuration.serializer(),
            state.index.configuration
        )
        val domain = ControlState.encode(Envelope(WRITER, 1, domainChange()))
        val heartbeat: PeerMessage = PeerMessage.Heartbeat("node-100", 1_000_000, 400)
        number(size, "document, bytes", document.length)
        number(size, "change of a domain, bytes", domain.length)
        number(size, "renewal record, bytes", ControlState.encode(RENEWAL).length)
        number(size, "heartbeat, bytes", Cbor.encodeToByteArray(heartbeat).size)
        number(
            size,
            "state in memory, bytes",
            heapOf {
                stateOf(size) to
                    dispatchOf(stateOf(size), size)
            }
        )
    }

    private fun heapOf(make: () -> Any): Int {
        val before = usedHeap()
        val kept = List(COPIES) { make() }
        val after = usedHeap()
        check(kept.size == COPIES)
        return ((after - before) / COPIES).toInt()
    }

    private fun usedHeap(): Long {
        repeat(GC_ROUNDS) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    private fun domainChange(): ChangeProposed =
        ChangeProposed("op", null, ConfigurationChange.SetDomain("domain-1", Availability.OUT))

    private fun record(offset: Long, state: ControlState, record: ControlRecord): LogRecord {
        val sequence = (state.writers[WRITER]?.lastSequence ?: 0) + 1
        return LogRecord(offset, 1_000, ControlState.encode(Envelope(WRITER, sequence, record)))
    }

    private fun line(size: Deployment, what: String, cost: Cost) {
        val micros = "%.2f".format(cost.medianMicros)
        println("{\"engines\":${size.engines},\"what\":\"$what\",\"medianMicros\":$micros}")
    }

    private fun number(size: Deployment, what: String, value: Int) {
        println("{\"engines\":${size.engines},\"what\":\"$what\",\"value\":$value}")
    }

    private companion object {
        const val NOW = 1_000L
        const val COPIES = 8
        const val GC_ROUNDS = 4
        val WRITER = WriterId("node-1", "0b5f9a52-7a35-4a3e-9d6b-2b7f0b7f6c11")
        val LEASE = SlotLease().replaceSlots(setOf(0), NOW, 4_500_000)
        val RENEWAL = Envelope(WRITER, 1, SlotsRenewed)
        val MODELS = List(8) { "model-0-$it" }
        val INTENT = IntentOpened("0123456789abcdef0123456789abcdef", "f".repeat(64), null)
    }
}
