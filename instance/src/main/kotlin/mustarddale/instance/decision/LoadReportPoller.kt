/*
 * Fetches the load reports of engines and posts them to the dispatch loop. For each engine, the one
 * instance that rendezvous hashing selects also writes the contents of its memory into the log when
 * they change the memory ledger.
 */
package mustarddale.instance.decision

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import mustarddale.control.ControlRecord.ResidencyObserved
import mustarddale.instance.decision.DispatchLoop.Update
import mustarddale.instance.duty.PeriodicDuty
import mustarddale.instance.engine.EngineClient
import mustarddale.instance.log.ControlStore
import mustarddale.instance.log.RecordWriter
import mustarddale.routing.LoadReport
import mustarddale.routing.RendezvousHashing

/**
 * Polls all engines at a fixed interval.
 *
 * @param liveInstances returns the ids of the live instances.
 */
public class LoadReportPoller(
    private val store: ControlStore,
    private val recordWriter: RecordWriter,
    private val engines: EngineClient,
    private val dispatchLoop: DispatchLoop,
    intervalMillis: Long,
    private val appendTimeoutMillis: Long,
    private val liveInstances: () -> Set<String>
) : AutoCloseable {
    @Volatile
    private var completedPolls = 0L
    private val worker = PeriodicDuty("reports", intervalMillis, ::poll)

    /** Whether all engines have been polled at least once under a known configuration. */
    public val hasPolled: Boolean get() = completedPolls > 0

    override fun close() {
        worker.close()
    }

    private fun poll() {
        val state = store.state
        if (state.revision == 0L) return
        val servers = state.index.configuration.backendServers.filter { it.memoryBytes > 0 }
        runBlocking { servers.map { async { engines.fetchReport(it) } }.awaitAll() }
            .filterNotNull()
            .forEach(::handleReport)
        completedPolls++
    }

    private fun handleReport(report: LoadReport) {
        dispatchLoop.post(Update.LoadReported(report))
        val owner = RendezvousHashing.owner(report.server, liveInstances())
        if (owner != recordWriter.writer.instance) return
        val observed = ResidencyObserved(
            server = report.server,
            number = report.number,
            appliedFence = report.appliedFence,
            held = report.held
        )
        if (changesLedger(observed)) recordWriter.append(observed, appendTimeoutMillis).join()
    }

    private fun changesLedger(observed: ResidencyObserved): Boolean {
        val state = store.state
        val isFirstReport = state.ledger.reports().none { it.server == observed.server }
        val previousEntries = state.ledger.entries(observed.server)
        return isFirstReport ||
            state.ledger.applyReport(observed, state.index).entries(observed.server) !=
            previousEntries
    }
}
