/*
 * Measures what the control plane costs one instance at four deployment sizes: time, message bytes
 * and heap. docs/CAPACITY.md derives its growth rates from the results.
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

/** Prints the control-plane costs as JSON lines, labelled like the rows of docs/CAPACITY.md. */
@OptIn(ExperimentalSerializationApi::class)
public class ControlCostReport {
    /** Measures all deployment sizes. */
    public fun run() {
        DeploymentSize.SIZES.forEach { size ->
            val state = controlState(size)
            val dispatch = dispatchState(state, size)
            printTime(size, "fold a change of a domain", measureFold(state, domainChange()))
            printTime(size, "fold a renewal of slots", measureFold(state, SlotsRenewed))
            printTime(size, "fold an intent", measureFold(state, INTENT))
            printTime(size, "admit a request", measureAdmission(dispatch))
            printTime(
                size,
                "apply a slot lease",
                Timing.measure {
                    dispatch.applyLease(LEASE, emptySet(), NOW_MILLIS)
                }
            )
            printTime(size, "apply a load report", measureReport(dispatch))
            printTime(
                size,
                "write a snapshot",
                Timing.measure {
                    ControlSnapshot.of(state).toChunks()
                }
            )
            printSizes(size, state)
        }
    }

    private fun controlState(size: DeploymentSize): ControlState {
        val change = ConfigurationChange.Replace(size.configuration())
        val firstRecord = record(0, ControlState.EMPTY, ChangeProposed("op", 0, change))
        return ControlState.EMPTY.fold(firstRecord).state
    }

    private fun dispatchState(state: ControlState, size: DeploymentSize): DispatchState {
        val initial = DispatchState()
            .applyControlState(state, NOW_MILLIS)
            .applyLease(LEASE, setOf(0), NOW_MILLIS)
        return state.index.configuration.backendServers.fold(initial) { dispatch, server ->
            val models = state.index.models.values
                .filter { it.service == server.service }
                .map { it.publicName }
            dispatch.withServers { it.applyReport(report(server.name, models, 1), NOW_MILLIS) }
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

    private fun measureFold(state: ControlState, record: ControlRecord): Cost {
        val nextRecord = record(state.nextOffset, state, record)
        return Timing.measure { state.fold(nextRecord) }
    }

    private fun measureAdmission(dispatch: DispatchState): Cost {
        val request =
            DispatchRequest("service-0", "account-0", model = "model-0-0", reservedTokens = 1.0)
        var randomValue = 0
        return Timing.measure { dispatch.admit(request, NOW_MILLIS, randomValue++) }
    }

    private fun measureReport(dispatch: DispatchState): Cost {
        var sequence = 1L
        return Timing.measure {
            val nextReport = report("engine-0", MODELS, ++sequence)
            dispatch.withServers { it.applyReport(nextReport, NOW_MILLIS) }
        }
    }

    private fun printSizes(size: DeploymentSize, state: ControlState) {
        val configurationJson = ConfigurationFormat.json.encodeToString(
            Configuration.serializer(),
            state.index.configuration
        )
        val domainRecord = ControlState.encode(Envelope(WRITER, 1, domainChange()))
        val heartbeat: PeerMessage = PeerMessage.Heartbeat("node-100", 1_000_000, 400)
        printBytes(size, "document, bytes", configurationJson.length)
        printBytes(size, "change of a domain, bytes", domainRecord.length)
        printBytes(size, "renewal record, bytes", ControlState.encode(RENEWAL).length)
        printBytes(size, "heartbeat, bytes", Cbor.encodeToByteArray(heartbeat).size)
        printBytes(
            size,
            "state in memory, bytes",
            heapBytes { controlState(size) to dispatchState(controlState(size), size) }
        )
    }

    private fun heapBytes(create: () -> Any): Int {
        val bytesBefore = usedHeap()
        val copies = List(COPIES) { create() }
        val bytesAfter = usedHeap()
        check(copies.size == COPIES)
        return ((bytesAfter - bytesBefore) / COPIES).toInt()
    }

    private fun usedHeap(): Long {
        repeat(GC_RUNS) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    private fun domainChange(): ChangeProposed =
        ChangeProposed("op", null, ConfigurationChange.SetDomain("domain-1", Availability.OUT))

    private fun record(offset: Long, state: ControlState, record: ControlRecord): LogRecord {
        val sequence = (state.writers[WRITER]?.lastSequence ?: 0) + 1
        return LogRecord(offset, 1_000, ControlState.encode(Envelope(WRITER, sequence, record)))
    }

    private fun printTime(size: DeploymentSize, label: String, cost: Cost) {
        val micros = "%.2f".format(cost.medianMicros)
        println("{\"engines\":${size.engines},\"what\":\"$label\",\"medianMicros\":$micros}")
    }

    private fun printBytes(size: DeploymentSize, label: String, bytes: Int) {
        println("{\"engines\":${size.engines},\"what\":\"$label\",\"value\":$bytes}")
    }

    private companion object {
        const val NOW_MILLIS = 1_000L
        const val COPIES = 8
        const val GC_RUNS = 4
        val WRITER = WriterId("node-1", "0b5f9a52-7a35-4a3e-9d6b-2b7f0b7f6c11")
        val LEASE = SlotLease().replaceSlots(setOf(0), NOW_MILLIS, 4_500_000)
        val RENEWAL = Envelope(WRITER, 1, SlotsRenewed)
        val MODELS = List(8) { "model-0-$it" }
        val INTENT = IntentOpened("0123456789abcdef0123456789abcdef", "f".repeat(64), null)
    }
}
