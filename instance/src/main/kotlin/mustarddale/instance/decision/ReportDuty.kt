/*
 * Asks engines for their load reports. Each report goes to the decision duty; what it shows of the
 * engine's memory goes into the log when it changes the ledger, written by one instance per engine.
 */
package mustarddale.instance.decision

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import mustarddale.control.ControlRecord.ResidencyObserved
import mustarddale.instance.decision.DecisionDuty.News
import mustarddale.instance.duty.PeriodicDuty
import mustarddale.instance.engine.EngineClient
import mustarddale.instance.log.ControlStore
import mustarddale.instance.log.RecordWriter
import mustarddale.routing.LoadReport
import mustarddale.routing.RendezvousHashing

/** Polls the engines at an even interval. */
public class ReportDuty(
    private val store: ControlStore,
    private val records: RecordWriter,
    private val engines: EngineClient,
    private val decisions: DecisionDuty,
    intervalMillis: Long,
    private val appendTimeoutMillis: Long,
    private val liveInstances: () -> Set<String>
) : AutoCloseable {
    @Volatile
    private var rounds = 0L
    private val duty = PeriodicDuty("reports", intervalMillis, ::poll)

    /** Whether all engines were asked at least once since there is a configuration. */
    public val hasPolled: Boolean get() = rounds > 0

    override fun close() {
        duty.close()
    }

    private fun poll() {
        val state = store.state
        if (state.revision == 0L) return
        val servers = state.index.configuration.backendServers.filter { it.memoryBytes > 0 }
        runBlocking { servers.map { async { engines.load(it) } }.awaitAll() }
            .filterNotNull()
            .forEach(::take)
        rounds++
    }

    private fun take(report: LoadReport) {
        decisions.tell(News.Reported(report))
        val owner = RendezvousHashing.owner(report.server, liveInstances())
        if (owner != records.writer.instance) return
        val observed = ResidencyObserved(
            server = report.server,
            number = report.number,
            appliedFence = report.appliedFence,
            held = report.held
        )
        if (isNews(observed)) records.append(observed, appendTimeoutMillis).join()
    }

    private fun isNews(observed: ResidencyObserved): Boolean {
        val state = store.state
        val isFirst = state.ledger.reports().none { it.server == observed.server }
        val before = state.ledger.entries(observed.server)
        return isFirst ||
            state.ledger.applyReport(observed, state.index).entries(observed.server) != before
    }
}
