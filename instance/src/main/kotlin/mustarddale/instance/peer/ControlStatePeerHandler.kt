package mustarddale.instance.peer

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.future.await
import mustarddale.control.ControlRecord.CheckpointChunk
import mustarddale.control.ControlSnapshot
import mustarddale.control.LogRecord
import mustarddale.freshness.PeerHeartbeat
import mustarddale.freshness.StateFreshness
import mustarddale.instance.decision.DispatchLoop
import mustarddale.instance.decision.DispatchLoop.Update
import mustarddale.instance.log.ControlStore
import mustarddale.time.Clock

/**
 * Answers peers from [store] and [dispatchLoop], and keeps their last heartbeats.
 *
 * @param lastLogReadSentMillis returns when the last read that reached the log's end was sent.
 */
public class ControlStatePeerHandler(
    private val store: ControlStore,
    private val dispatchLoop: DispatchLoop,
    private val clock: Clock,
    private val lastLogReadSentMillis: () -> Long
) : PeerHandler {
    private val heartbeats = ConcurrentHashMap<String, PeerHeartbeat>()
    private val snapshotParts = mutableMapOf<String, List<CheckpointChunk>>()

    override fun nextOffset(): Long = store.state.nextOffset

    /** Returns the last heartbeat of each peer. */
    public fun peerHeartbeats(): List<PeerHeartbeat> = heartbeats.values.toList()

    override fun logAgeMillis(): Long {
        val sentMillis = lastLogReadSentMillis()
        if (sentMillis == StateFreshness.NEVER) return StateFreshness.UNKNOWN_AGE
        return clock.monotonicMillis() - sentMillis
    }

    override fun handleHeartbeat(heartbeat: PeerMessage.Heartbeat) {
        heartbeats[heartbeat.instance] = PeerHeartbeat(
            instance = heartbeat.instance,
            nextOffset = heartbeat.nextOffset,
            logAgeMillis = heartbeat.logAgeMillis,
            receivedAtMillis = clock.monotonicMillis()
        )
    }

    override fun updatesSince(fromOffset: Long): List<PeerMessage> {
        val records = store.recentRecords(fromOffset)
        if (records.isNotEmpty()) return listOf(PeerMessage.Records(records))
        return ControlSnapshot.of(store.state).toChunks().map {
            PeerMessage.Snapshot(it.throughOffset, it.index, it.count, it.sha256, it.data)
        }
    }

    override fun handleRecords(records: List<LogRecord>) {
        store.offer(records)
    }

    override fun handleSnapshotPart(part: PeerMessage.Snapshot) {
        val chunk =
            CheckpointChunk(part.throughOffset, part.index, part.count, part.sha256, part.data)
        val snapshot = synchronized(snapshotParts) {
            val received = snapshotParts[part.sha256].orEmpty() + chunk
            snapshotParts.clear()
            snapshotParts[part.sha256] = received
            ControlSnapshot.fromChunks(received)
        }
        if (snapshot != null) store.offer(snapshot.toState())
    }

    override suspend fun withdrawTokens(account: String, tokens: Double): Double =
        dispatchLoop.withdrawTokens(account, tokens).await()

    override suspend fun lendPermit(server: String): Boolean =
        dispatchLoop.lendPermit(server).await()

    override fun handlePermitReturned(server: String) {
        dispatchLoop.post(Update.PermitReturned(server))
    }
}
