package mustarddale.instance.peer

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.future.await
import mustarddale.control.ControlRecord.CheckpointChunk
import mustarddale.control.ControlSnapshot
import mustarddale.control.LogRecord
import mustarddale.freshness.PeerHeartbeat
import mustarddale.freshness.StateFreshness
import mustarddale.instance.decision.DecisionDuty
import mustarddale.instance.decision.DecisionDuty.News
import mustarddale.instance.log.ControlStore
import mustarddale.time.Clock

/** Answers peers from [store] and [decisions], and keeps their last heartbeats. */
public class StatePeerHandler(
    private val store: ControlStore,
    private val decisions: DecisionDuty,
    private val clock: Clock,
    private val logReadSentMillis: () -> Long
) : PeerHandler {
    private val signs = ConcurrentHashMap<String, PeerHeartbeat>()
    private val parts = mutableMapOf<String, List<CheckpointChunk>>()

    override fun nextOffset(): Long = store.state.nextOffset

    /** The last heartbeat of each peer. */
    public fun peerSigns(): List<PeerHeartbeat> = signs.values.toList()

    override fun logAgeMillis(): Long {
        val sentMillis = logReadSentMillis()
        if (sentMillis == StateFreshness.NEVER) return StateFreshness.UNKNOWN_AGE
        return clock.monotonicMillis() - sentMillis
    }

    override fun heard(heartbeat: PeerMessage.Heartbeat) {
        signs[heartbeat.instance] = PeerHeartbeat(
            instance = heartbeat.instance,
            nextOffset = heartbeat.nextOffset,
            logAgeMillis = heartbeat.logAgeMillis,
            receivedAtMillis = clock.monotonicMillis()
        )
    }

    override fun newsSince(fromOffset: Long): List<PeerMessage> {
        val records = store.recent(fromOffset)
        if (records.isNotEmpty()) return listOf(PeerMessage.Records(records))
        return ControlSnapshot.of(store.state).toChunks().map {
            PeerMessage.Snapshot(it.throughOffset, it.index, it.count, it.sha256, it.data)
        }
    }

    override fun take(records: List<LogRecord>) {
        store.offer(records)
    }

    override fun take(part: PeerMessage.Snapshot) {
        val chunk =
            CheckpointChunk(part.throughOffset, part.index, part.count, part.sha256, part.data)
        val whole = synchronized(parts) {
            val known = parts[part.sha256].orEmpty() + chunk
            parts.clear()
            parts[part.sha256] = known
            ControlSnapshot.fromChunks(known)
        }
        if (whole != null) store.offer(whole.toState())
    }

    override suspend fun give(account: String, tokens: Double): Double =
        decisions.give(account, tokens).await()

    override suspend fun lend(server: String): Boolean = decisions.lendPermit(server).await()

    override fun returned(server: String) {
        decisions.tell(News.PermitReturned(server))
    }
}
